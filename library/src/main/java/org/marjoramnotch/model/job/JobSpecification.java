package org.marjoramnotch.model.job;

import org.marjoramnotch.model.resource.Resources;

/**
 * What a caller asks of a job.
 *
 * @param name groups runs of the same work, to learn their use and run time
 * @param tasks number of tasks, from 1
 * @param perTask what each task needs
 * @param expectedRunMilliseconds the declared run time of a task
 * @param urgent whether it goes before other work of its team
 * @param payload handed to the worker unchanged
 */
public record JobSpecification(
        String name,
        int tasks,
        Resources perTask,
        long expectedRunMilliseconds,
        boolean urgent,
        String payload) {}
