package org.marjoramnotch.logic.job;

import org.apache.commons.codec.digest.DigestUtils;
import org.marjoramnotch.model.command.SubmitJob;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.QueueRule;

/** Checks what is asked of a job, the same way on every replica. */
final class JobValidation {
    /** Bounds the memory that one job takes. */
    static final int MAXIMUM_TASKS_PER_JOB = 20_000;

    /** Bounds the memory that one payload takes. */
    static final int MAXIMUM_PAYLOAD_CHARACTERS = 65_536;

    private JobValidation() {}

    /**
     * Refuses a job that its queue or any replica cannot take.
     *
     * @throws MarjoramnotchException with {@code WRONG_QUEUE_POLICY} or {@code INVALID_REQUEST}
     */
    static void check(QueueRule queue, JobSpecification asked) {
        if (queue.policy() == QueuePolicy.QUICK || queue.policy() == QueuePolicy.FEED) {
            throw new MarjoramnotchException(
                    ErrorCode.WRONG_QUEUE_POLICY,
                    "Queue "
                            + queue.queue()
                            + " takes no jobs; use one of policy batch, gang or"
                            + " service.");
        }
        if (asked.tasks() < 1 || asked.tasks() > MAXIMUM_TASKS_PER_JOB) {
            throw invalid("A job has 1 to " + MAXIMUM_TASKS_PER_JOB + " tasks; split it.");
        }
        if (asked.name().isBlank() || asked.expectedRunMilliseconds() < 0) {
            throw invalid("A job has a name and an expected run time from 0; give both.");
        }
        if (asked.payload().length() > MAXIMUM_PAYLOAD_CHARACTERS) {
            throw invalid(
                    "A payload has at most "
                            + MAXIMUM_PAYLOAD_CHARACTERS
                            + " characters; refer to larger data by name.");
        }
    }

    /** Returns a digest of what is asked, to tell a resend from another job. */
    static String fingerprint(SubmitJob command) {
        return DigestUtils.sha256Hex(command.queue() + " " + command.specification());
    }

    private static MarjoramnotchException invalid(String message) {
        return new MarjoramnotchException(ErrorCode.INVALID_REQUEST, message);
    }
}
