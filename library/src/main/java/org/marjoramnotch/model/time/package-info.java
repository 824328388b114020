/** The clock that every part of the system reads, in milliseconds. */
@NullMarked
package org.marjoramnotch.model.time;

import org.jspecify.annotations.NullMarked;
