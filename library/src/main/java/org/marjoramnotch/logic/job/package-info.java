/** Schedules jobs on workers: the replicated state of both and the leader's decisions. */
@NullMarked
package org.marjoramnotch.logic.job;

import org.jspecify.annotations.NullMarked;
