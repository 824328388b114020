package org.marjoramnotch.model.command;

import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.JobId;

/** What applying a {@link Command} did; the same on every replica. */
public sealed interface CommandResult {
    /** The command took effect, or had already. */
    record Accepted() implements CommandResult {}

    /**
     * The configuration has this version.
     *
     * @param version the version in force since the command or its first sending
     */
    record ConfigurationAccepted(long version) implements CommandResult {}

    /**
     * The worker holds this epoch.
     *
     * @param epoch the fencing epoch
     */
    record WorkerAccepted(long epoch) implements CommandResult {}

    /**
     * The job is accepted under this name.
     *
     * @param job the name, the first one for a resend
     */
    record JobAccepted(JobId job) implements CommandResult {}

    /**
     * The request of the same idempotency key has run and was answered so.
     *
     * @param answer the first answer
     */
    record AnsweredBefore(StoredAnswer answer) implements CommandResult {}

    /**
     * The command took no effect.
     *
     * @param refusal why
     */
    record Rejected(Refusal refusal) implements CommandResult {}
}
