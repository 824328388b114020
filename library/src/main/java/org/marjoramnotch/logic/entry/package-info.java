/**
 * The decisions of an entry: how a caller's request is attempted and how the caller is answered.
 */
@NullMarked
package org.marjoramnotch.logic.entry;

import org.jspecify.annotations.NullMarked;
