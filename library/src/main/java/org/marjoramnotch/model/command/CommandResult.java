package org.marjoramnotch.model.command;

import java.util.List;
import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.workflow.AppliedEnd;

/** The result of applying a {@link Command}; it is the same on every replica. */
public sealed interface CommandResult {
    /** The command took effect now or did so earlier. */
    record Accepted() implements CommandResult {}

    /**
     * The change of the configuration was accepted.
     *
     * @param version the version that took effect when the command was first applied
     */
    record ConfigurationAccepted(long version) implements CommandResult {}

    /**
     * The worker was registered.
     *
     * @param epoch the fencing epoch that the worker holds
     */
    record WorkerAccepted(long epoch) implements CommandResult {}

    /**
     * The job was accepted.
     *
     * @param job the name of the job; for a resend, the name given to the first request
     */
    record JobAccepted(JobId job) implements CommandResult {}

    /**
     * An earlier request with the same idempotency key has run and was answered.
     *
     * @param answer the answer to the earlier request
     */
    record AnsweredBefore(StoredAnswer answer) implements CommandResult {}

    /**
     * Ends of runs were applied.
     *
     * @param ends the ends, with those that follow from them
     */
    record RunsEnded(List<AppliedEnd> ends) implements CommandResult {}

    /**
     * The command was rejected and had no effect.
     *
     * @param refusal the reason
     */
    record Rejected(Refusal refusal) implements CommandResult {}
}
