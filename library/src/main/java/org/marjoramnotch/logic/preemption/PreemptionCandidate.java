package org.marjoramnotch.logic.preemption;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.StepId;

/**
 * A run that could be stopped, or all runs of a gang, which are only stopped together.
 *
 * @param parts the runs
 * @param priority the priority of their queue
 * @param loss what kind of work is lost
 * @param lostMilliseconds how much work each run would lose
 * @param expectedEnd when the first of the runs is expected to end, in the leader's time
 * @param preemptions how often the task was preempted, the largest number of a gang
 * @param filler whether the runs only use processor time that others leave idle
 * @param standingStep the step of a standing task; empty for other tasks
 * @param absenceAllowed whether one more task of the standing step may be interrupted
 */
public record PreemptionCandidate(
        List<Part> parts,
        int priority,
        PreemptionLoss loss,
        long lostMilliseconds,
        long expectedEnd,
        int preemptions,
        boolean filler,
        Optional<StepId> standingStep,
        boolean absenceAllowed) {
    private static final long MILLIS_PER_PROCESSOR = 1_000;

    /**
     * A run and what it reserves.
     *
     * @param run the run
     * @param worker its worker
     * @param resources what it reserves there
     */
    public record Part(RunId run, WorkerIncarnation worker, Resources resources) {}

    /** Creates an immutable candidate by copying the list. */
    public PreemptionCandidate {
        parts = List.copyOf(parts);
    }

    /** Returns the core time that would be thrown away, in core-milliseconds. */
    public long lostProcessorMilliseconds() {
        long sum = 0;
        for (Part part : parts) {
            sum += lostProcessorMilliseconds(part);
        }
        return sum;
    }

    /** Returns the core time that one of the runs would throw away, in core-milliseconds. */
    public long lostProcessorMilliseconds(Part part) {
        return processorMilliseconds(part.resources(), lostMilliseconds);
    }

    /** Returns what the runs reserve on all workers, in thousandths of a processor. */
    long processorMillis() {
        long sum = 0;
        for (Part part : parts) {
            sum += part.resources().processorMillis();
        }
        return sum;
    }

    /** Returns what the runs reserve on one worker. */
    Resources on(WorkerIncarnation worker) {
        if (parts.size() == 1) {
            return parts.get(0).resources();
        }
        Resources sum = Resources.NONE;
        for (Part part : parts) {
            if (part.worker().equals(worker)) {
                sum = sum.plus(part.resources());
            }
        }
        return sum;
    }

    static long processorMilliseconds(Resources resources, long milliseconds) {
        return resources.processorMillis() * milliseconds / MILLIS_PER_PROCESSOR;
    }
}
