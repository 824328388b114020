package org.marjoramnotch.logic.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.job.TaskEnd;
import org.marjoramnotch.model.job.TaskReport;
import org.marjoramnotch.model.job.WorkerDescription;
import org.marjoramnotch.model.job.WorkerOrder;
import org.marjoramnotch.model.message.AnnounceWorker;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.RenewWorker;
import org.marjoramnotch.model.message.WorkerRenewed;
import org.marjoramnotch.model.resource.Resources;

/**
 * A simulated worker that follows the worker contract by its own drifting clock: it runs nothing
 * without a lease, acts only on the answer to its latest request, and starts no run that it has
 * ended or was told to stop.
 */
final class FakeWorker {
    private static final long REQUEST_TIMEOUT_MILLISECONDS = 6_500;
    private static final long PROMPT_MILLISECONDS = 60;

    final WorkerDescription description;
    final Map<TaskAttemptId, FakeRun> runs = new HashMap<>();
    private final Map<TaskAttemptId, TaskEnd> ended = new HashMap<>();
    private final Set<TaskAttemptId> neverStarted = new HashSet<>();
    private final FakeNetwork network;
    private final UniformRandomProvider random;
    private final double clockRate;
    private final int failingPercent;
    private long now;
    private long pausedUntil;
    private long pauseAfterAnswer;
    private long epoch;
    private long leaseEnd = Long.MIN_VALUE;
    private long requestNumber;
    private long requestSent;
    private boolean awaiting;

    FakeWorker(
            WorkerDescription description,
            FakeNetwork network,
            UniformRandomProvider random,
            int failingPercent) {
        this.description = description;
        this.network = network;
        this.random = random;
        this.failingPercent = failingPercent;
        this.clockRate = 0.99 + 0.02 * random.nextDouble();
    }

    /** Loses all state and is unavailable for a while. */
    void crash(long milliseconds) {
        runs.clear();
        endEpoch();
        pausedUntil = now + milliseconds;
    }

    /**
     * Stops handling answers and sending requests for a while; runs continue until the lease
     * expires.
     */
    void pause(long milliseconds) {
        pausedUntil = now + milliseconds;
    }

    /** Pauses after the next prompt answer, when the remaining lease is as long as possible. */
    void pauseAfterPromptAnswer(long milliseconds) {
        pauseAfterAnswer = milliseconds;
    }

    /**
     * Returns the runs that are actually running; none of them outlives the lease by the clock of
     * the worker.
     */
    Map<TaskAttemptId, FakeRun> liveRuns() {
        return localTime() < leaseEnd ? runs : Map.of();
    }

    void tick(long trueNow) {
        now = trueNow;
        if (localTime() >= leaseEnd && epoch != 0) {
            runs.clear();
            endEpoch();
        }
        if (now < pausedUntil) {
            return;
        }
        endRuns();
        if (!awaiting || now - requestSent > REQUEST_TIMEOUT_MILLISECONDS) {
            send();
        }
    }

    private void send() {
        requestNumber++;
        requestSent = now;
        awaiting = true;
        long number = requestNumber;
        long sentLocal = localTime();
        Map<TaskAttemptId, TaskEnd> reported = new LinkedHashMap<>(ended);
        CellRequest request =
                epoch == 0
                        ? new AnnounceWorker(description)
                        : new RenewWorker(
                                description.worker(),
                                epoch,
                                random.nextInt(4) == 0 ? 0 : random.nextInt(6_000),
                                List.copyOf(runs.keySet()),
                                reports(reported),
                                List.of());
        network.send(request, reply -> onReply(number, sentLocal, reported, reply));
    }

    private void onReply(
            long number, long sentLocal, Map<TaskAttemptId, TaskEnd> reported, CellReply reply) {
        if (number != requestNumber || !awaiting || now < pausedUntil) {
            return;
        }
        awaiting = false;
        if (!(reply instanceof WorkerRenewed renewed)) {
            runs.clear();
            endEpoch();
            return;
        }
        if (epoch == 0) {
            epoch = renewed.epoch();
        }
        leaseEnd = sentLocal + renewed.leaseMilliseconds();
        if (localTime() >= leaseEnd) {
            return;
        }
        reported.keySet().forEach(ended::remove);
        renewed.orders().forEach(this::execute);
        if (pauseAfterAnswer > 0 && now - requestSent <= PROMPT_MILLISECONDS && !runs.isEmpty()) {
            pause(pauseAfterAnswer);
            pauseAfterAnswer = 0;
        }
    }

    private void execute(WorkerOrder order) {
        TaskAttemptId attempt = order.attempt();
        if (order instanceof WorkerOrder.Start start) {
            boolean mayStart =
                    start.epoch() == epoch
                            && !runs.containsKey(attempt)
                            && neverStarted.add(attempt);
            if (mayStart) {
                start(attempt, start);
            }
        } else if (!(order instanceof WorkerOrder.Throttle)) {
            boolean known = !neverStarted.add(attempt);
            if (runs.containsKey(attempt)) {
                runs.get(attempt).stopAt(now + random.nextInt(300));
            } else if (!known) {
                ended.put(attempt, TaskEnd.NOT_STARTED);
            }
        }
    }

    private void start(TaskAttemptId attempt, WorkerOrder.Start start) {
        if (random.nextInt(100) < 2) {
            ended.put(attempt, TaskEnd.NOT_STARTED);
            return;
        }
        FakePayload payload = FakePayload.parse(start.payload());
        boolean fails = random.nextInt(100) < Math.max(failingPercent, payload.failingPercent());
        long runtime = fails ? 100 : payload.runMilliseconds();
        runs.put(attempt, new FakeRun(start.reserved(), now, now + runtime, fails));
        network.started(attempt);
    }

    private void endRuns() {
        runs.entrySet()
                .removeIf(
                        run -> {
                            TaskEnd end = run.getValue().end(now);
                            if (end != null) {
                                ended.put(run.getKey(), end);
                            }
                            return end != null;
                        });
    }

    private void endEpoch() {
        ended.clear();
        epoch = 0;
        leaseEnd = Long.MIN_VALUE;
        awaiting = false;
    }

    private long localTime() {
        return (long) (now * clockRate);
    }

    private static List<TaskReport> reports(Map<TaskAttemptId, TaskEnd> ended) {
        return ended.entrySet().stream()
                .map(report -> new TaskReport(report.getKey(), report.getValue()))
                .toList();
    }

    /** A simulated run. */
    static final class FakeRun {
        final Resources reserved;
        final long started;
        private final long endsAt;
        private final boolean fails;
        private long stopsAt = Long.MAX_VALUE;

        FakeRun(Resources reserved, long started, long endsAt, boolean fails) {
            this.reserved = reserved;
            this.started = started;
            this.endsAt = endsAt;
            this.fails = fails;
        }

        void stopAt(long milliseconds) {
            stopsAt = Math.min(stopsAt, milliseconds);
        }

        @Nullable TaskEnd end(long now) {
            if (now >= Math.min(endsAt, stopsAt)) {
                return stopsAt < endsAt
                        ? TaskEnd.STOPPED
                        : fails ? TaskEnd.FAILED : TaskEnd.SUCCEEDED;
            }
            return null;
        }
    }
}
