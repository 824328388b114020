/** Benchmarks of speed and size; none of them is a test. */
@NullMarked
package org.marjoramnotch.benchmark;

import org.jspecify.annotations.NullMarked;
