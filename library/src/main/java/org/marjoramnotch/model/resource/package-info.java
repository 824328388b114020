/** Amounts of processors, memory and accelerators. */
@NullMarked
package org.marjoramnotch.model.resource;

import org.jspecify.annotations.NullMarked;
