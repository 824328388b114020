package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.job.JobState;
import org.marjoramnotch.model.message.JobAnswer;
import org.marjoramnotch.model.message.ReadJob;

/**
 * Answers requests to read a job. A request is held until the state of the job differs from the one
 * that the caller knows, or until its waiting time is over.
 */
final class JobReadRequestHandler {
    private static final long MAXIMUM_HOLD_MILLISECONDS = 30_000;
    private static final int MAXIMUM_HELD_PER_JOB = 64;

    private final DutyContext context;
    private final Map<JobEntry, List<HeldRead>> held = new HashMap<>();
    private final Set<JobEntry> changedJobs = new LinkedHashSet<>();

    JobReadRequestHandler(DutyContext context) {
        this.context = context;
    }

    void read(RequestHandle handle, ReadJob request, JobEntry job) {
        long wait = Math.min(request.waitMilliseconds(), MAXIMUM_HOLD_MILLISECONDS);
        JobState known = request.known().orElse(null);
        boolean hold = known == job.status().state() && wait > 0 && !job.hasEnded();
        List<HeldRead> reads = held.getOrDefault(job, List.of());
        if (known == null || !hold || reads.size() >= MAXIMUM_HELD_PER_JOB) {
            context.reply(handle, new JobAnswer(job.status()));
            return;
        }
        HeldRead read = new HeldRead(handle, known);
        held.computeIfAbsent(job, key -> new ArrayList<>()).add(read);
        context.schedule(context.now() + wait, () -> answer(job, read));
    }

    /** Marks a job whose state may have changed. */
    void markChanged(JobEntry job) {
        if (held.containsKey(job)) {
            changedJobs.add(job);
        }
    }

    void answerChanged() {
        if (changedJobs.isEmpty()) {
            return;
        }
        List<JobEntry> jobs = new ArrayList<>(changedJobs);
        changedJobs.clear();
        for (JobEntry job : jobs) {
            JobState state = job.status().state();
            for (HeldRead read : List.copyOf(held.getOrDefault(job, List.of()))) {
                if (read.known() != state) {
                    answer(job, read);
                }
            }
        }
    }

    private void answer(JobEntry job, HeldRead read) {
        List<HeldRead> reads = held.get(job);
        if (reads != null && reads.remove(read)) {
            if (reads.isEmpty()) {
                held.remove(job);
            }
            context.reply(read.handle(), new JobAnswer(job.status()));
        }
    }

    private record HeldRead(RequestHandle handle, JobState known) {}
}
