package org.marjoramnotch.logic.job;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.command.SubmitJob;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.TaskId;

/**
 * Index of jobs by name and by request identifier. A request identifier is known as long as its job
 * is.
 */
final class JobIndex {
    private final Map<JobId, JobEntry> jobs = new HashMap<>();
    private final Map<JobRequestKey, JobEntry> requests = new HashMap<>();
    private final FinishedJobs finished = new FinishedJobs();

    Optional<JobEntry> job(JobId id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /**
     * Returns a job.
     *
     * @throws MarjoramnotchException with {@code UNKNOWN_JOB}
     */
    JobEntry require(JobId id) {
        return job(id).orElseThrow(() -> unknownJob(id));
    }

    /** Returns a task of a job that has not ended. */
    Optional<TaskEntry> task(TaskId id) {
        return job(id.job())
                .filter(job -> id.number() >= 0 && id.number() < job.tasks.length)
                .map(job -> job.tasks[id.number()]);
    }

    /** Returns the jobs that have not ended, in order of acceptance. Iterates over all jobs. */
    List<JobEntry> live() {
        return jobs.values().stream()
                .filter(job -> !job.hasEnded())
                .sorted(Comparator.comparingLong(job -> job.sequence))
                .toList();
    }

    /** Returns the jobs that have ended, in the order in which they ended. */
    List<JobEntry> ended() {
        return finished.inOrder();
    }

    /**
     * Returns the job that was accepted for an earlier copy of the same request.
     *
     * @throws MarjoramnotchException with {@code REQUEST_ID_REUSED} if the earlier request had
     *     other content
     */
    Optional<JobEntry> findResent(SubmitJob command) {
        Optional<JobEntry> first =
                command.request()
                        .map(request -> requests.get(new JobRequestKey(command.team(), request)));
        if (first.isPresent()
                && !JobValidation.fingerprint(command).equals(first.get().fingerprint)) {
            throw new MarjoramnotchException(
                    ErrorCode.REQUEST_ID_REUSED,
                    "The request identifier was already used for another job; choose a new one"
                            + " for each job.");
        }
        return first;
    }

    void add(JobEntry job) {
        Invariant.check(jobs.put(job.id, job) == null, "A job with the same name exists");
        if (job.request != null) {
            requests.put(new JobRequestKey(job.team, job.request), job);
        }
    }

    /**
     * Keeps an ended job so that its status can be read, and evicts the oldest one if there are too
     * many.
     */
    void end(JobEntry job) {
        job.compact();
        finished.add(job).ifPresent(this::evict);
    }

    void clear() {
        jobs.clear();
        requests.clear();
        finished.clear();
    }

    private void evict(JobEntry job) {
        jobs.remove(job.id);
        if (job.request != null) {
            requests.remove(new JobRequestKey(job.team, job.request));
        }
    }

    static MarjoramnotchException unknownJob(JobId job) {
        return new MarjoramnotchException(
                ErrorCode.UNKNOWN_JOB,
                "This team has no job named "
                        + job
                        + ", or the job ended long ago; check the name and the key.");
    }
}
