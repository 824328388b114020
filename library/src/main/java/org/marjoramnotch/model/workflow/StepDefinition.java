package org.marjoramnotch.model.workflow;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.resource.Resources;

/**
 * A step of a workflow: a number of identical tasks that become ready once other steps are done.
 *
 * @param tasks how many tasks the step has
 * @param demand the resources that one task needs on a worker
 * @param estimateMilliseconds estimated run time of one task; 0 if unknown
 * @param after positions of the steps that must be done first
 * @param checkpointing whether a task can resume from a checkpoint
 * @param gang whether the tasks only work while all of them run
 * @param sameRack whether the tasks are slower on more than one rack
 * @param requiredLabel a label that the worker must have, if any
 * @param dataRack the rack that holds the data, if any; tasks are slower elsewhere
 * @param mostPerWorker maximum number of tasks of the step on one worker; 0 for no limit
 * @param speculative whether several copies of a task may run concurrently
 * @param standing whether tasks run until the workflow is cancelled
 * @param image name of the program that the tasks run; tasks of the same image behave alike
 * @param latencyTargetMilliseconds upper bound of the tail latency of a standing task; 0 for none
 * @param filler whether the tasks only use processor time that other tasks leave idle
 * @param mostAbsent maximum number of standing tasks that planned actions may interrupt at once
 */
public record StepDefinition(
        int tasks,
        Resources demand,
        long estimateMilliseconds,
        List<Integer> after,
        boolean checkpointing,
        boolean gang,
        boolean sameRack,
        Optional<String> requiredLabel,
        Optional<String> dataRack,
        int mostPerWorker,
        boolean speculative,
        boolean standing,
        String image,
        long latencyTargetMilliseconds,
        boolean filler,
        int mostAbsent) {
    /** Creates an immutable step definition by copying the list. */
    public StepDefinition {
        after = List.copyOf(after);
    }

    /** Returns a builder for a step. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the capacity that a task reserves on its worker; a filler task reserves no processor
     * time.
     */
    public Resources reserved() {
        return filler ? new Resources(0, demand.memoryMegabytes(), demand.accelerators()) : demand;
    }

    /**
     * Builds step definitions. The defaults are one task without a demand and no optional
     * properties.
     */
    public static final class Builder {
        private int tasks = 1;
        private Resources demand = Resources.NONE;
        private long estimateMilliseconds;
        private List<Integer> after = List.of();
        private boolean checkpointing;
        private boolean gang;
        private boolean sameRack;
        private Optional<String> requiredLabel = Optional.empty();
        private Optional<String> dataRack = Optional.empty();
        private int mostPerWorker;
        private boolean speculative;
        private boolean standing;
        private String image = "";
        private long latencyTargetMilliseconds;
        private boolean filler;
        private int mostAbsent;

        private Builder() {}

        /** Sets the number of tasks. */
        public Builder tasks(int value) {
            tasks = value;
            return this;
        }

        /** Sets the resources that one task needs. */
        public Builder demand(Resources value) {
            demand = value;
            return this;
        }

        /** Sets the estimated run time of a task. */
        public Builder estimateMilliseconds(long value) {
            estimateMilliseconds = value;
            return this;
        }

        /** Sets the positions of the steps that must be done first. */
        public Builder after(List<Integer> value) {
            after = value;
            return this;
        }

        /** Sets whether tasks can resume from checkpoints. */
        public Builder checkpointing(boolean value) {
            checkpointing = value;
            return this;
        }

        /** Sets whether the tasks only work while all of them run. */
        public Builder gang(boolean value) {
            gang = value;
            return this;
        }

        /** Sets whether the tasks are slower on more than one rack. */
        public Builder sameRack(boolean value) {
            sameRack = value;
            return this;
        }

        /** Sets the label that the worker must have. */
        public Builder requiredLabel(Optional<String> value) {
            requiredLabel = value;
            return this;
        }

        /** Sets the rack that holds the data. */
        public Builder dataRack(Optional<String> value) {
            dataRack = value;
            return this;
        }

        /** Sets the maximum number of tasks on one worker. */
        public Builder mostPerWorker(int value) {
            mostPerWorker = value;
            return this;
        }

        /** Sets whether several copies of a task may run concurrently. */
        public Builder speculative(boolean value) {
            speculative = value;
            return this;
        }

        /** Sets whether the tasks run until the workflow is cancelled. */
        public Builder standing(boolean value) {
            standing = value;
            return this;
        }

        /** Sets the name of the program that the tasks run. */
        public Builder image(String value) {
            image = value;
            return this;
        }

        /** Sets the upper bound of the tail latency. */
        public Builder latencyTargetMilliseconds(long value) {
            latencyTargetMilliseconds = value;
            return this;
        }

        /** Sets whether the tasks only use processor time that other tasks leave idle. */
        public Builder filler(boolean value) {
            filler = value;
            return this;
        }

        /** Sets the maximum number of standing tasks that planned actions may interrupt at once. */
        public Builder mostAbsent(int value) {
            mostAbsent = value;
            return this;
        }

        /** Returns the step definition. */
        public StepDefinition build() {
            return new StepDefinition(
                    tasks,
                    demand,
                    estimateMilliseconds,
                    after,
                    checkpointing,
                    gang,
                    sameRack,
                    requiredLabel,
                    dataRack,
                    mostPerWorker,
                    speculative,
                    standing,
                    image,
                    latencyTargetMilliseconds,
                    filler,
                    mostAbsent);
        }
    }
}
