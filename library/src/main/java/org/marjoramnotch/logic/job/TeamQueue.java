package org.marjoramnotch.logic.job;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;

/** The waiting jobs of one team, and the resources that the team holds. */
final class TeamQueue {
    /** Orders by urgency rank, then by the used part of the share, then by name. */
    static final Comparator<TeamQueue> BY_PRIORITY =
            Comparator.<TeamQueue>comparingInt(team -> team.rank)
                    .thenComparingDouble(team -> team.shareUsed)
                    .thenComparing(team -> team.name);

    final TeamName name;

    /** Resources held by runs and by proposed placements. */
    Resources held = Resources.NONE;

    /** Sort keys; they may change only while the team is in no sorted set. */
    int rank;

    double shareUsed;

    private final Map<TaskShape, ShapeQueue> byShape = new HashMap<>();
    private final NavigableSet<ShapeQueue> shapes;

    TeamQueue(TeamName name, Comparator<ShapeQueue> shapeOrder) {
        this.name = name;
        this.shapes = new TreeSet<>(shapeOrder);
    }

    boolean isEmpty() {
        return shapes.isEmpty();
    }

    boolean hasUrgent() {
        return !shapes.isEmpty() && shapes.first().shape.urgent();
    }

    NavigableSet<ShapeQueue> shapes() {
        return shapes;
    }

    /** Returns the jobs that have waiting tasks. */
    Stream<QueuedJob> jobs() {
        return shapes.stream().flatMap(shape -> shape.jobs.stream());
    }

    /** Moves a job to the queue of its current shape, or removes it if none of its tasks waits. */
    void update(QueuedJob job) {
        ShapeQueue before = job.shapeQueue;
        if (!job.isEmpty() && before != null && before.shape.equals(TaskShape.of(job))) {
            return;
        }
        remove(job);
        if (!job.isEmpty()) {
            ShapeQueue queue = byShape.computeIfAbsent(TaskShape.of(job), ShapeQueue::new);
            // Shapes are ordered by their first jobs, so a shape is removed before its jobs change.
            if (!queue.jobs.isEmpty()) {
                shapes.remove(queue);
            }
            queue.jobs.add(job);
            job.shapeQueue = queue;
            shapes.add(queue);
        }
    }

    void remove(QueuedJob job) {
        ShapeQueue queue = job.shapeQueue;
        job.shapeQueue = null;
        if (queue == null) {
            return;
        }
        shapes.remove(queue);
        queue.jobs.remove(job);
        if (queue.jobs.isEmpty()) {
            byShape.remove(queue.shape);
        } else {
            shapes.add(queue);
        }
    }
}
