/** Preemption: which runs are stopped so that urgent work starts in time. */
@NullMarked
package org.marjoramnotch.logic.preemption;

import org.jspecify.annotations.NullMarked;
