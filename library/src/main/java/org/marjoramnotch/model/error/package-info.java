/** Refusals and errors: a code, a truthful outcome and a message that names the remedy. */
@NullMarked
package org.marjoramnotch.model.error;

import org.jspecify.annotations.NullMarked;
