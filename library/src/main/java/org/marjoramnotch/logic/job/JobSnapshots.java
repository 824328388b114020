package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.JobRecord;
import org.marjoramnotch.model.job.JobSnapshot;
import org.marjoramnotch.model.job.TaskPhase;
import org.marjoramnotch.model.job.TaskSnapshot;
import org.marjoramnotch.model.job.WorkerSnapshot;

/** Converts the state of jobs and workers to snapshot records and back. */
final class JobSnapshots {
    private JobSnapshots() {}

    static List<WorkerSnapshot> writeWorkers(Collection<WorkerEntry> workers) {
        return workers.stream()
                .map(worker -> new WorkerSnapshot(worker.description, worker.epoch))
                .toList();
    }

    static List<JobRecord> writeJobs(List<JobEntry> jobs) {
        return jobs.stream().map(JobSnapshots::writeJob).toList();
    }

    static List<WorkerEntry> readWorkers(JobSnapshot snapshot) {
        return snapshot.workers().stream()
                .map(worker -> new WorkerEntry(worker.description(), worker.epoch()))
                .toList();
    }

    static List<JobEntry> readJobs(List<JobRecord> records, Map<WorkerId, WorkerEntry> workers) {
        List<JobEntry> jobs = new ArrayList<>();
        for (JobRecord stored : records) {
            jobs.add(readJob(stored, workers));
        }
        return jobs;
    }

    private static JobRecord writeJob(JobEntry job) {
        List<TaskSnapshot> tasks = new ArrayList<>();
        for (TaskEntry task : job.tasks) {
            if (task.lastRun > 0) {
                tasks.add(writeTask(task));
            }
        }
        return new JobRecord(
                job.id,
                job.sequence,
                job.queue,
                job.team,
                job.submittedWithKey,
                Optional.ofNullable(job.request),
                Optional.ofNullable(job.fingerprint),
                job.specification,
                job.policy,
                job.repetition,
                job.progress(),
                tasks);
    }

    private static TaskSnapshot writeTask(TaskEntry task) {
        return new TaskSnapshot(
                task.number,
                task.phase,
                task.lastRun,
                task.failures,
                task.interruptions,
                Optional.ofNullable(task.worker).map(WorkerEntry::id));
    }

    private static JobEntry readJob(JobRecord stored, Map<WorkerId, WorkerEntry> workers) {
        JobEntry job =
                new JobEntry(
                        stored.job(),
                        stored.sequence(),
                        stored.queue(),
                        stored.team(),
                        stored.policy(),
                        stored.repetition(),
                        stored.specification());
        job.submittedWithKey = stored.keyed();
        job.request = stored.request().orElse(null);
        job.fingerprint = stored.fingerprint().orElse(null);
        job.restore(stored.progress());
        for (TaskSnapshot task : stored.tasks()) {
            readTask(job.tasks[task.number()], task, workers);
        }
        return job;
    }

    private static void readTask(
            TaskEntry task, TaskSnapshot stored, Map<WorkerId, WorkerEntry> workers) {
        task.phase = stored.phase();
        task.lastRun = stored.lastRun();
        task.failures = (byte) stored.failures();
        task.interruptions = (byte) stored.interruptions();
        if (stored.phase() == TaskPhase.RUNNING) {
            WorkerEntry worker = stored.worker().map(workers::get).orElse(null);
            Invariant.check(worker != null, "A run in a snapshot has no registered worker");
            worker.add(task);
        }
    }
}
