package org.marjoramnotch.logic.overload;

import java.util.Optional;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * Accepted work as a whole, with all its steps.
 *
 * @param id the identifier
 * @param team the team that it runs for, if any
 * @param priority the priority of its queue; 0 is the highest
 * @param latestStartMilliseconds when its waiting tasks must begin for it to be in time; {@link
 *     #UNDER_WAY} if none waits
 * @param objectiveMilliseconds its latency objective
 * @param worthlessAtMilliseconds when its result has no value any more: the due time plus twice the
 *     objective
 * @param remainingProcessorMilliseconds remaining core-milliseconds of all steps
 * @param standing whether it runs until it is cancelled
 */
public record WorkItem(
        WorkId id,
        Optional<TeamName> team,
        int priority,
        long latestStartMilliseconds,
        long objectiveMilliseconds,
        long worthlessAtMilliseconds,
        long remainingProcessorMilliseconds,
        boolean standing) {
    /** The latest start of work whose remaining tasks all run. */
    public static final long UNDER_WAY = Long.MAX_VALUE;

    /** Multiple of the objective by which a result may be late before it has no value. */
    private static final int OBJECTIVES_FROM_DUE_TO_WORTHLESS = 2;

    /** Returns a builder for an item. */
    public static Builder builder(WorkId id) {
        return new Builder(id);
    }

    /** Returns when the result is due. */
    public long dueMilliseconds() {
        return worthlessAtMilliseconds - OBJECTIVES_FROM_DUE_TO_WORTHLESS * objectiveMilliseconds;
    }

    /** Returns whether all remaining tasks run, so that no order changes its end. */
    public boolean isUnderWay() {
        return latestStartMilliseconds == UNDER_WAY;
    }

    /** Returns whether waiting tasks can't be in time any more. */
    public boolean isLate(long nowMilliseconds) {
        return !standing && nowMilliseconds > latestStartMilliseconds;
    }

    /** Returns whether the result has no value even if the waiting tasks start now. */
    public boolean isWorthless(long nowMilliseconds) {
        return isLate(nowMilliseconds)
                && nowMilliseconds
                        > latestStartMilliseconds
                                + OBJECTIVES_FROM_DUE_TO_WORTHLESS * objectiveMilliseconds;
    }

    /** Builds work items. The defaults are no team, priority 0, no remaining work. */
    public static final class Builder {
        private final WorkId id;
        private Optional<TeamName> team = Optional.empty();
        private int priority;
        private long latestStartMilliseconds;
        private long objectiveMilliseconds;
        private long dueMilliseconds;
        private long remainingProcessorMilliseconds;
        private boolean standing;

        private Builder(WorkId id) {
            this.id = id;
        }

        /** Sets the team that the work runs for. */
        public Builder team(Optional<TeamName> value) {
            team = value;
            return this;
        }

        /** Sets the priority of the queue. */
        public Builder priority(int value) {
            priority = value;
            return this;
        }

        /** Sets when the remaining critical path must begin. */
        public Builder latestStartMilliseconds(long value) {
            latestStartMilliseconds = value;
            return this;
        }

        /** Sets the latency objective. */
        public Builder objectiveMilliseconds(long value) {
            objectiveMilliseconds = value;
            return this;
        }

        /** Sets when the result is due. */
        public Builder dueMilliseconds(long value) {
            dueMilliseconds = value;
            return this;
        }

        /** Sets the remaining core-milliseconds of all steps. */
        public Builder remainingProcessorMilliseconds(long value) {
            remainingProcessorMilliseconds = value;
            return this;
        }

        /** Sets whether the work runs until it is cancelled. */
        public Builder standing(boolean value) {
            standing = value;
            return this;
        }

        /** Returns the item. */
        public WorkItem build() {
            return new WorkItem(
                    id,
                    team,
                    priority,
                    latestStartMilliseconds,
                    objectiveMilliseconds,
                    dueMilliseconds + OBJECTIVES_FROM_DUE_TO_WORTHLESS * objectiveMilliseconds,
                    remainingProcessorMilliseconds,
                    standing);
        }
    }
}
