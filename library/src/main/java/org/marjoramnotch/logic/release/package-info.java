/** Which life of a worker a release is about, and what shows that a released life goes on. */
@NullMarked
package org.marjoramnotch.logic.release;

import org.jspecify.annotations.NullMarked;
