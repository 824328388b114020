package org.marjoramnotch.logic.budget;

import java.util.List;
import org.marjoramnotch.model.workflow.StepDefinition;

/**
 * The memory that workflows take in a replica, in bytes, rounded up. The amounts are part of the
 * replicated state: all replicas calculate them alike, whatever they have in memory.
 */
public final class HeldBytes {
    private static final long ENDED_WORKFLOW = 600;
    private static final long WORKFLOW = 1_600;
    private static final long STEP = 500;
    private static final long PREDECESSOR = 20;
    private static final long TASK = 120;
    private static final long RUNNING_TASK = 500;

    /** Strings without later characters take one byte for each. */
    private static final int LAST_NARROW_CHARACTER = 0xff;

    private HeldBytes() {}

    /** Returns what a workflow takes that has ended and is kept to be read. */
    public static long ofEndedWorkflow() {
        return ENDED_WORKFLOW;
    }

    /**
     * Returns what a workflow takes that has not ended.
     *
     * @param definitionBytes what its payload and steps take; see {@link #ofDefinition}
     * @param tasks its tasks with state, in all occurrences
     * @param running its running tasks
     */
    public static long ofWorkflow(long definitionBytes, long tasks, long running) {
        return WORKFLOW + definitionBytes + tasks * TASK + running * RUNNING_TASK;
    }

    /** Returns what the payload and the steps of a workflow take. */
    public static long ofDefinition(String payload, List<StepDefinition> steps) {
        return ofText(payload) + steps.stream().mapToLong(HeldBytes::ofStep).sum();
    }

    private static long ofStep(StepDefinition step) {
        return STEP
                + step.after().size() * PREDECESSOR
                + ofText(step.image())
                + ofText(step.requiredLabel().orElse(""))
                + ofText(step.dataRack().orElse(""));
    }

    private static long ofText(String text) {
        boolean narrow = text.chars().allMatch(character -> character <= LAST_NARROW_CHARACTER);
        return narrow ? text.length() : 2L * text.length();
    }
}
