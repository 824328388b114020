package org.marjoramnotch.logic.job;

import java.util.Comparator;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.marjoramnotch.model.rule.QueuePolicy;

/** The waiting jobs of one team that have the same shape. */
final class ShapeQueue {
    /**
     * Orders urgent shapes first, then services, whose lost tasks must be replaced, and then by the
     * oldest job.
     */
    static final Comparator<ShapeQueue> FAIR =
            Comparator.<ShapeQueue>comparingInt(queue -> queue.shape.urgent() ? 0 : 1)
                    .thenComparingInt(queue -> isService(queue) ? 0 : 1)
                    .thenComparing(queue -> queue.jobs.first());

    /** Orders by the oldest job. */
    static final Comparator<ShapeQueue> FIRST_COME =
            Comparator.comparing(queue -> queue.jobs.first());

    final TaskShape shape;
    final NavigableSet<QueuedJob> jobs = new TreeSet<>();

    ShapeQueue(TaskShape shape) {
        this.shape = shape;
    }

    private static boolean isService(ShapeQueue queue) {
        return queue.shape.policy() == QueuePolicy.SERVICE;
    }
}
