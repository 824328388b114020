/** End-to-end tests with separate processes on the loopback interface. */
@NullMarked
package org.marjoramnotch.endtoend;

import org.jspecify.annotations.NullMarked;
