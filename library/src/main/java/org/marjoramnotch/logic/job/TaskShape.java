package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;

/**
 * The properties that decide whether the next task of a job can be placed. Jobs of the same shape
 * are tried together.
 *
 * @param perTask the resources that each task needs
 * @param policy the policy of the queue
 * @param urgent whether the job takes precedence over other work of its team
 * @param simultaneousTasks number of tasks that must start at the same time; 1 unless the job is a
 *     gang
 */
record TaskShape(Resources perTask, QueuePolicy policy, boolean urgent, int simultaneousTasks) {
    static TaskShape of(QueuedJob queued) {
        JobEntry job = queued.job;
        int simultaneousTasks = job.policy == QueuePolicy.GANG ? queued.waitingTasks() : 1;
        return new TaskShape(
                job.perTask(), job.policy, job.specification.urgent(), simultaneousTasks);
    }
}
