package org.marjoramnotch.logic.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.RackName;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.identifier.TaskId;
import org.marjoramnotch.model.identifier.WorkerId;
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
 * A simulated worker with capacity for two tasks, which tracks its lease by its own drifting clock.
 */
final class SimulatedWorker {
    static final Resources TASK = new Resources(500, 500, 0);
    private static final Resources CAPACITY = new Resources(1_000, 1_000, 0);
    private static final long RENEWAL_MILLISECONDS = 300;

    private final WorkerDescription description;
    private final CellSimulation simulation;
    private final double clockRate;
    private final Map<TaskAttemptId, Long> runs = new HashMap<>();
    private final Set<TaskAttemptId> seen = new HashSet<>();
    private final Map<TaskAttemptId, TaskEnd> ended = new HashMap<>();
    private long epoch;
    private long leaseEnd;
    private long request;
    long starts;

    SimulatedWorker(String name, CellSimulation simulation) {
        this.description =
                new WorkerDescription(
                        new WorkerId(name),
                        CAPACITY,
                        new AvailabilityZone("zone"),
                        new RackName("rack-" + name));
        this.simulation = simulation;
        this.clockRate = 0.99 + 0.02 * simulation.random.nextDouble();
        renewPeriodically();
    }

    /** Returns the tasks that actually run. */
    List<TaskId> liveTasks() {
        return localTime() < leaseEnd
                ? runs.keySet().stream().map(TaskAttemptId::task).toList()
                : List.of();
    }

    void restart() {
        runs.clear();
        ended.clear();
        epoch = 0;
        request++;
    }

    private void renewPeriodically() {
        if (epoch != 0 && localTime() >= leaseEnd) {
            restart();
        }
        endRuns();
        long number = ++request;
        long sent = localTime();
        Map<TaskAttemptId, TaskEnd> reported = new LinkedHashMap<>(ended);
        simulation.sendUntilAnswered(
                message(reported),
                () -> number == request,
                reply -> onReply(sent, reported, reply));
        simulation.schedule(RENEWAL_MILLISECONDS, this::renewPeriodically);
    }

    private CellRequest message(Map<TaskAttemptId, TaskEnd> reported) {
        if (epoch == 0) {
            return new AnnounceWorker(description);
        }
        List<TaskReport> reports = new ArrayList<>();
        reported.forEach((attempt, end) -> reports.add(new TaskReport(attempt, end)));
        return new RenewWorker(
                description.worker(), epoch, 0, List.copyOf(runs.keySet()), reports, List.of());
    }

    private void onReply(long sent, Map<TaskAttemptId, TaskEnd> reported, CellReply reply) {
        if (!(reply instanceof WorkerRenewed renewed)) {
            restart();
            return;
        }
        epoch = renewed.epoch();
        leaseEnd = sent + renewed.leaseMilliseconds();
        if (localTime() >= leaseEnd) {
            return;
        }
        reported.keySet().forEach(ended::remove);
        renewed.orders().forEach(this::executeOrder);
    }

    private void executeOrder(WorkerOrder order) {
        if (order instanceof WorkerOrder.Start start) {
            if (start.epoch() == epoch && seen.add(start.attempt())) {
                starts++;
                runs.put(start.attempt(), simulation.time + simulation.random.nextInt(3_000));
            }
        } else if (runs.remove(order.attempt()) != null || seen.add(order.attempt())) {
            ended.put(order.attempt(), TaskEnd.STOPPED);
        }
    }

    private void endRuns() {
        runs.entrySet()
                .removeIf(
                        run -> {
                            boolean finished = run.getValue() <= simulation.time;
                            if (finished) {
                                ended.put(run.getKey(), TaskEnd.SUCCEEDED);
                            }
                            return finished;
                        });
    }

    private long localTime() {
        return (long) (simulation.time * clockRate);
    }
}
