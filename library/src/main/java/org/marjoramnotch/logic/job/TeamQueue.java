package org.marjoramnotch.logic.job;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;

/** The waiting jobs of one team with what it holds. */
final class TeamQueue {
    /** Urgent rank, then part of the share that is in use, then name. */
    static final Comparator<TeamQueue> BY_PRIORITY =
            Comparator.<TeamQueue>comparingInt(team -> team.rank)
                    .thenComparingDouble(team -> team.shareUsed)
                    .thenComparing(team -> team.name);

    final TeamName name;

    /** Held by runs and by proposed placements. */
    Resources held = Resources.NONE;

    /** Sorting keys; they change only while the team is in no sorted set. */
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

    /** Files a job under its present shape, or takes it out when none of its tasks waits. */
    void update(QueuedJob job) {
        ShapeQueue before = job.shapeQueue;
        if (!job.isEmpty() && before != null && before.shape.equals(TaskShape.of(job))) {
            return;
        }
        remove(job);
        if (!job.isEmpty()) {
            ShapeQueue queue = byShape.computeIfAbsent(TaskShape.of(job), ShapeQueue::new);
            // The order of shapes rests on their first jobs, so that they are taken out first.
            if (!queue.jobs.isEmpty()) {
                shapes.remove(queue);
            }
            queue.jobs.add(job);
            job.shapeQueue = queue;
            shapes.add(queue);
        }
    }

    /** Takes a job out. */
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
