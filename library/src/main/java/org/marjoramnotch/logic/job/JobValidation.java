package org.marjoramnotch.logic.job;

import org.apache.commons.codec.digest.DigestUtils;
import org.marjoramnotch.model.command.SubmitJob;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.QueueRule;

/** Validates submitted jobs, in the same way on every replica. */
final class JobValidation {
    /** Limits the memory that one job takes. */
    static final int MAXIMUM_TASKS_PER_JOB = 20_000;

    /** Limits the memory that one payload takes. */
    static final int MAXIMUM_PAYLOAD_CHARACTERS = 65_536;

    private JobValidation() {}

    /**
     * Rejects a job that its queue does not accept or that exceeds a limit.
     *
     * @throws MarjoramnotchException with {@code WRONG_QUEUE_POLICY} or {@code INVALID_REQUEST}
     */
    static void check(QueueRule queue, JobSpecification specification) {
        if (queue.policy() == QueuePolicy.QUICK || queue.policy() == QueuePolicy.FEED) {
            throw new MarjoramnotchException(
                    ErrorCode.WRONG_QUEUE_POLICY,
                    "Queue "
                            + queue.queue()
                            + " does not accept jobs; use a queue with policy batch, gang"
                            + " or service.");
        }
        if (specification.tasks() < 1 || specification.tasks() > MAXIMUM_TASKS_PER_JOB) {
            throw invalid(
                    "A job must have 1 to "
                            + MAXIMUM_TASKS_PER_JOB
                            + " tasks; split it into several jobs.");
        }
        if (specification.name().isBlank() || specification.expectedRunMilliseconds() < 0) {
            throw invalid(
                    "A job needs a name and an expected run time of at least 0 ms; set both.");
        }
        if (specification.payload().length() > MAXIMUM_PAYLOAD_CHARACTERS) {
            throw invalid(
                    "A payload may have at most "
                            + MAXIMUM_PAYLOAD_CHARACTERS
                            + " characters; pass a reference to larger data instead.");
        }
    }

    /**
     * Returns a digest of a submission, to distinguish a resend from another job with the same
     * request identifier.
     */
    static String fingerprint(SubmitJob command) {
        return DigestUtils.sha256Hex(command.queue() + " " + command.specification());
    }

    private static MarjoramnotchException invalid(String message) {
        return new MarjoramnotchException(ErrorCode.INVALID_REQUEST, message);
    }
}
