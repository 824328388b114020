package org.marjoramnotch.logic.cell;

import static org.marjoramnotch.logic.cell.MicrosecondTimeline.MILLISECOND;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.model.message.ReleaseWorker;

/** Injects faults of a few kinds, chosen by the seed, into a simulated fleet. */
final class FleetFaultInjector {
    private static final int MAXIMUM_KINDS = 4;
    private static final long MAXIMUM_INTERVAL_MILLISECONDS = 2_500;
    private static final long MAXIMUM_REPORT_LOSS_MILLISECONDS = 8_000;

    private final FleetSimulation cell;
    private final UniformRandomProvider random;
    private final FleetDepartures departures;
    private final List<FleetFault> kinds;
    private final long meanInterval;
    private boolean ended;

    FleetFaultInjector(FleetSimulation cell, List<FleetFault> possible) {
        this.cell = cell;
        this.random = cell.random;
        this.departures =
                new FleetDepartures(cell, (action, delay) -> after(delay, action), this::crash);
        List<FleetFault> all = new ArrayList<>(possible);
        Collections.shuffle(all, new Random(random.nextLong()));
        this.kinds = new ArrayList<>(all.subList(0, 1 + random.nextInt(MAXIMUM_KINDS)));
        if (random.nextInt(3) == 0) {
            kinds.add(FleetFault.MANY_WORKERS_RESTART);
            kinds.add(FleetFault.REPORTS_LOST);
        }
        this.meanInterval = 100 + random.nextLong(MAXIMUM_INTERVAL_MILLISECONDS);
        cell.trace.add(() -> "fault_kinds " + kinds + " interval_ms=" + meanInterval);
    }

    void begin() {
        injectLater();
    }

    void end() {
        ended = true;
        cell.network.healAll();
        for (FleetHost host : cell.hosts) {
            host.heal();
            if (!host.isRunning()) {
                cell.start(host);
            }
        }
        for (FleetWorkerNode worker : cell.workers) {
            worker.lossShare = 0;
            worker.reportsLostUntil = 0;
            worker.worker().ifPresent(present -> present.rejectCalls(false));
            restart(worker);
        }
    }

    private void injectLater() {
        after(
                1 + random.nextLong(2 * meanInterval),
                () -> {
                    FleetFault fault = kinds.get(random.nextInt(kinds.size()));
                    cell.count(fault.name().toLowerCase(Locale.ROOT));
                    inject(fault);
                    injectLater();
                });
    }

    private void after(long milliseconds, Runnable action) {
        cell.timeline.after(
                milliseconds * MILLISECOND + random.nextLong(MILLISECOND),
                () -> {
                    if (!ended) {
                        action.run();
                    }
                });
    }

    private void inject(FleetFault fault) {
        FleetHost host = random.nextInt(4) == 0 ? anyHost() : leader();
        FleetWorkerNode worker = cell.workers.get(random.nextInt(cell.workers.size()));
        long duration = random.nextLong(100, random.nextBoolean() ? 1_000 : 6_000);
        cell.trace.add(
                () ->
                        "fault %s host=%s worker=%s ms=%d"
                                .formatted(
                                        fault,
                                        host.machine.name(),
                                        worker.machine.name(),
                                        duration));
        switch (fault) {
            case FROZEN_STEP -> {
                FleetHost.Step[] steps = FleetHost.Step.values();
                host.freezeAt(steps[random.nextInt(steps.length)], duration * MILLISECOND);
            }
            case FROZEN_LEADER -> host.freeze(duration * MILLISECOND);
            case SLOW_SYNCS -> hosts(host, each -> each.disk.slowDown(in(duration)));
            case STALLED_DISKS -> hosts(host, each -> each.disk.stall(in(duration)));
            case REPLICA_CUT_OFF -> cutOff(host, duration);
            case REPLICA_CUT_ONE_WAY -> cutOneWay(host, duration);
            case POWER_LOSS -> losePower(host, duration);
            case SLOW_INPUTS -> hosts(host, each -> each.slowInputsUntil = in(duration));
            case CALLS_LOST -> loseCalls(worker, duration);
            case WORKER_CUT_ONE_WAY -> cutWorker(worker, duration);
            case UNHEALTHY_WORKER -> rejectCalls(worker, duration / 2);
            case STARTS_REJECTED ->
                    worker.worker()
                            .ifPresent(present -> present.rejectStarts(1 + random.nextInt(4)));
            case WORKER_RESTART -> crash(worker, duration / 2);
            case MANY_WORKERS_RESTART ->
                    cell.workers.stream()
                            .filter(each -> random.nextBoolean())
                            .forEach(each -> crash(each, random.nextLong(20, duration)));
            case REPORTS_LOST -> loseReports(random.nextBoolean() ? List.of(worker) : cell.workers);
            case WORKER_LEAVES -> departures.leave(worker, duration);
            case WORKER_CUT_OFF -> cutOff(worker, 2 * duration);
            case WORKER_RESTARTS_AND_IS_CUT_OFF -> restartAndCutOff(worker);
            case WORKER_LEAVES_BEHIND_CUT -> leaveBehindCut(worker);
            case RELEASE_ARRIVES_LATE -> departures.leaveWithLateRelease(worker, false);
            case RELEASE_ARRIVES_TWICE -> departures.leaveWithLateRelease(worker, true);
            default -> throw new IllegalStateException("unknown fault " + fault);
        }
    }

    private long in(long milliseconds) {
        return cell.timeline.now() + milliseconds * MILLISECOND;
    }

    private FleetHost anyHost() {
        return cell.hosts.get(random.nextInt(cell.hosts.size()));
    }

    private FleetHost leader() {
        return cell.hosts.stream()
                .filter(FleetHost::isLeading)
                .findFirst()
                .orElseGet(this::anyHost);
    }

    /** Applies a fault to a host and, at times, to another one or to all. */
    private void hosts(FleetHost host, Consumer<FleetHost> fault) {
        fault.accept(host);
        switch (random.nextInt(4)) {
            case 0 -> fault.accept(anyHost());
            case 1 -> cell.hosts.forEach(fault);
            default -> {}
        }
    }

    private void cutOff(FleetHost host, long duration) {
        boolean fromWorkers = random.nextBoolean();
        cut(host.machine, others(host, fromWorkers), true, true, duration);
    }

    private void cutOneWay(FleetHost host, long duration) {
        boolean outgoing = random.nextBoolean();
        cut(host.machine, others(host, random.nextBoolean()), outgoing, !outgoing, duration);
    }

    private List<FleetNetwork.Machine> others(FleetHost host, boolean withWorkers) {
        List<FleetNetwork.Machine> others = new ArrayList<>();
        cell.hosts.stream()
                .filter(other -> other != host)
                .filter(other -> random.nextInt(4) > 0)
                .forEach(other -> others.add(other.machine));
        if (withWorkers) {
            cell.workers.stream()
                    .filter(worker -> random.nextInt(4) > 0)
                    .forEach(worker -> others.add(worker.machine));
        }
        return others;
    }

    private void cutWorker(FleetWorkerNode worker, long duration) {
        List<FleetNetwork.Machine> machines =
                cell.hosts.stream().map(host -> host.machine).toList();
        int way = random.nextInt(3);
        cut(worker.machine, machines, way != 0, way != 1, duration);
    }

    /** Cuts a worker off from all hosts, in both ways or one, with one of the responses. */
    private void cutOff(FleetWorkerNode worker, long duration) {
        FleetNetwork.CutResponse[] responses = FleetNetwork.CutResponse.values();
        FleetNetwork.CutResponse response = responses[random.nextInt(responses.length)];
        boolean fromWorker = random.nextInt(3) > 0;
        for (FleetHost host : cell.hosts) {
            cell.network.cut(host.machine, worker.machine, response);
            after(duration, () -> cell.network.heal(host.machine, worker.machine));
            if (fromWorker) {
                cell.network.cut(worker.machine, host.machine);
                after(duration, () -> cell.network.heal(worker.machine, host.machine));
            }
        }
    }

    /** Lets a worker crash, start again within a second, and be cut off within one lease. */
    private void restartAndCutOff(FleetWorkerNode worker) {
        crash(worker, 20 + random.nextLong(1_000));
        after(1_000 + random.nextLong(4_000), () -> cutOff(worker, 4_000 + random.nextLong(6_000)));
    }

    /** Lets a worker drain, announce its end behind a cut and run on for some seconds. */
    private void leaveBehindCut(FleetWorkerNode worker) {
        worker.drain();
        cell.reportNow(worker);
        after(
                1_000 + random.nextLong(1_500),
                () -> {
                    long duration = 2_000 + random.nextLong(4_000);
                    cutOff(worker, duration);
                    after(
                            random.nextLong(1_000),
                            () -> cell.request(new ReleaseWorker(worker.id(), worker.started())));
                    after(duration, () -> crash(worker, 1 + random.nextLong(2_000)));
                });
    }

    private void cut(
            FleetNetwork.Machine machine,
            List<FleetNetwork.Machine> others,
            boolean outgoing,
            boolean incoming,
            long duration) {
        for (FleetNetwork.Machine other : others) {
            if (outgoing) {
                cell.network.cut(machine, other);
                after(duration, () -> cell.network.heal(machine, other));
            }
            if (incoming) {
                cell.network.cut(other, machine);
                after(duration, () -> cell.network.heal(other, machine));
            }
        }
    }

    private void losePower(FleetHost host, long duration) {
        hosts(
                host,
                each -> {
                    if (each.isRunning()) {
                        each.losePower();
                        after(duration / 2, () -> restart(each));
                    }
                });
    }

    private void rejectCalls(FleetWorkerNode worker, long duration) {
        worker.worker()
                .ifPresent(
                        present -> {
                            present.rejectCalls(true);
                            after(duration, () -> present.rejectCalls(false));
                        });
    }

    private void crash(FleetWorkerNode worker, long duration) {
        if (worker.worker().isPresent()) {
            worker.crash();
            after(duration, () -> restart(worker));
        }
    }

    private void loseReports(List<FleetWorkerNode> workers) {
        long until = in(random.nextLong(500, MAXIMUM_REPORT_LOSS_MILLISECONDS));
        workers.forEach(each -> each.reportsLostUntil = until);
    }

    private void restart(FleetWorkerNode worker) {
        if (worker.worker().isEmpty()) {
            worker.start();
            cell.reportNow(worker);
        }
    }

    private void restart(FleetHost host) {
        if (!host.isRunning()) {
            cell.start(host);
        }
    }

    private void loseCalls(FleetWorkerNode worker, long duration) {
        double share = random.nextBoolean() ? 1 : 0.05 + 0.5 * random.nextDouble();
        List<FleetWorkerNode> affected = random.nextInt(3) == 0 ? cell.workers : List.of(worker);
        affected.forEach(each -> each.lossShare = share);
        after(duration, () -> affected.forEach(each -> each.lossShare = 0));
    }
}
