/** Estimates how fast workers run tasks from the run times of tasks that do about the same work. */
@NullMarked
package org.marjoramnotch.logic.speed;

import org.jspecify.annotations.NullMarked;
