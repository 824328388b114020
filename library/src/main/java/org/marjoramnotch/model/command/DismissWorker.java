package org.marjoramnotch.model.command;

import java.util.Optional;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.workflow.NextLifeEvidence;

/**
 * Removes a worker that is permanently gone; its runs lapse.
 *
 * @param worker the incarnation of the worker
 * @param nextLifeEvidence what the next incarnation may have carried out of the starts for this
 *     one; empty if this is not known, as in commands of earlier releases
 */
public record DismissWorker(WorkerIncarnation worker, Optional<NextLifeEvidence> nextLifeEvidence)
        implements WorkflowCommand {
    /** Dismisses a worker without evidence about its next incarnation. */
    public DismissWorker(WorkerIncarnation worker) {
        this(worker, Optional.empty());
    }
}
