package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;

/**
 * What decides whether the next task of a job can be placed; jobs of one shape are tried together.
 *
 * @param perTask what each task needs
 * @param policy the policy of the queue
 * @param urgent whether it goes before other work of the team
 * @param simultaneousTasks tasks that start at once, 1 unless a gang
 */
record TaskShape(Resources perTask, QueuePolicy policy, boolean urgent, int simultaneousTasks) {
    static TaskShape of(QueuedJob queued) {
        JobEntry job = queued.job;
        int together = job.policy == QueuePolicy.GANG ? queued.waitingTasks() : 1;
        return new TaskShape(job.perTask(), job.policy, job.specification.urgent(), together);
    }
}
