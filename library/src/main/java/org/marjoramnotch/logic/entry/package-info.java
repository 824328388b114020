/** Decides at an entry how a caller's request is attempted and what its caller is told. */
@NullMarked
package org.marjoramnotch.logic.entry;

import org.jspecify.annotations.NullMarked;
