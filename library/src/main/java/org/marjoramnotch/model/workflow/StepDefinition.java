package org.marjoramnotch.model.workflow;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.resource.Resources;

/**
 * One step of a workflow: a number of equal tasks that become ready once other steps are done.
 *
 * @param tasks how many tasks the step has
 * @param demand what one task takes of a worker
 * @param estimateMilliseconds a rough run time of one task; 0 if unknown
 * @param after positions of the steps that must be done first
 * @param checkpointing whether a task can go on from a checkpoint
 * @param gang whether the tasks only work while all of them run
 * @param sameRack whether the tasks are slower on more than one rack
 * @param requiredLabel a label that the worker must have, if any
 * @param dataRack the rack that holds the data, if any; tasks are slower elsewhere
 * @param mostPerWorker most tasks of the step on one worker; 0 for any number
 * @param speculative whether copies of one task may run side by side
 * @param standing whether tasks run until the workflow is cancelled
 * @param image names what the tasks run; tasks of one image behave alike
 * @param latencyTargetMilliseconds bound of the tail latency of a standing task; 0 for none
 * @param filler whether the tasks only use processor time that others leave
 * @param mostAbsent most standing tasks that planned actions may take away at once
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
    /** Copies the list, so that the step stays as it is. */
    public StepDefinition {
        after = List.copyOf(after);
    }

    /** Starts a step of some tasks. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns what a task takes of the capacity of its worker; a filler takes no processor. */
    public Resources reserved() {
        return filler ? new Resources(0, demand.memoryMegabytes(), demand.accelerators()) : demand;
    }

    /** Collects the properties of a step; all but the demand have defaults. */
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

        /** Sets what one task takes. */
        public Builder demand(Resources value) {
            demand = value;
            return this;
        }

        /** Sets the rough run time of a task. */
        public Builder estimateMilliseconds(long value) {
            estimateMilliseconds = value;
            return this;
        }

        /** Sets the positions of the steps that come first. */
        public Builder after(List<Integer> value) {
            after = value;
            return this;
        }

        /** Sets whether tasks go on from checkpoints. */
        public Builder checkpointing(boolean value) {
            checkpointing = value;
            return this;
        }

        /** Sets whether the tasks only work together. */
        public Builder gang(boolean value) {
            gang = value;
            return this;
        }

        /** Sets whether the tasks belong on one rack. */
        public Builder sameRack(boolean value) {
            sameRack = value;
            return this;
        }

        /** Sets the label that the worker must have. */
        public Builder requiredLabel(Optional<String> value) {
            requiredLabel = value;
            return this;
        }

        /** Sets the rack of the data. */
        public Builder dataRack(Optional<String> value) {
            dataRack = value;
            return this;
        }

        /** Sets how many tasks may share a worker. */
        public Builder mostPerWorker(int value) {
            mostPerWorker = value;
            return this;
        }

        /** Sets whether copies may run side by side. */
        public Builder speculative(boolean value) {
            speculative = value;
            return this;
        }

        /** Sets whether the tasks run until they are cancelled. */
        public Builder standing(boolean value) {
            standing = value;
            return this;
        }

        /** Sets the name of what the tasks run. */
        public Builder image(String value) {
            image = value;
            return this;
        }

        /** Sets the bound of the tail latency. */
        public Builder latencyTargetMilliseconds(long value) {
            latencyTargetMilliseconds = value;
            return this;
        }

        /** Sets whether the tasks only use what others leave. */
        public Builder filler(boolean value) {
            filler = value;
            return this;
        }

        /** Sets how many standing tasks may be away by planned actions. */
        public Builder mostAbsent(int value) {
            mostAbsent = value;
            return this;
        }

        /** Returns the step. */
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
