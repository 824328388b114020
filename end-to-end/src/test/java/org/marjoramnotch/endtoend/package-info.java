/** Tests of the whole path with separate processes on loopback. */
@NullMarked
package org.marjoramnotch.endtoend;

import org.jspecify.annotations.NullMarked;
