package org.marjoramnotch.model.job;

import org.marjoramnotch.model.resource.Resources;

/**
 * A job as a caller submits it.
 *
 * @param name groups runs of the same work, whose run time is estimated together
 * @param tasks number of tasks, at least 1
 * @param perTask the resources that each task needs
 * @param expectedRunMilliseconds the run time of a task as declared by the caller
 * @param urgent whether the job takes precedence over other work of its team
 * @param payload passed to the worker unchanged
 */
public record JobSpecification(
        String name,
        int tasks,
        Resources perTask,
        long expectedRunMilliseconds,
        boolean urgent,
        String payload) {}
