/**
 * Refusals and errors. Each has a code, an outcome that says whether the work was done, and a
 * message that names the remedy.
 */
@NullMarked
package org.marjoramnotch.model.error;

import org.jspecify.annotations.NullMarked;
