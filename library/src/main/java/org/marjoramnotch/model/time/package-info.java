/** The clock that all parts of the system use, in milliseconds. */
@NullMarked
package org.marjoramnotch.model.time;

import org.jspecify.annotations.NullMarked;
