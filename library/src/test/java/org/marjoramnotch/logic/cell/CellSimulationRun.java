package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.logic.replication.ReplicationStatus;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.TaskId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.message.Credential;
import org.marjoramnotch.model.message.SubmitJobRequest;

/** One seeded run of a complete cell under faults; the invariants are checked after each step. */
final class CellSimulationRun {
    private static final TeamName TEAM = new TeamName("wards");
    private static final long SETTLE_MILLISECONDS = 60_000;

    private final CellSimulation simulation;
    private final UniformRandomProvider random;
    private final Map<String, SimulatedEndpoint> endpoints = new TreeMap<>();
    private final List<SimulatedCallers> entries = new ArrayList<>();
    private final List<SimulatedWorker> workers = new ArrayList<>();
    private final SimulatedOperators operators;
    private final Map<String, Integer> occurrences = new TreeMap<>();
    private final AtomicInteger jobs = new AtomicInteger();
    private long nextFaultAt = 10_000;
    private long diskLostAt;
    private long highestTerm;
    private List<ReplicaId> lastVoters = List.of();

    CellSimulationRun(long seed, int replicas) {
        simulation = new CellSimulation(seed, replicas);
        random = simulation.random;
        Map<String, Integer> claims = SimulatedCallers.newClaims();
        for (int number = 0; number < 2; number++) {
            String name = "endpoint-" + number;
            endpoints.put(name, new SimulatedEndpoint(name, simulation));
            entries.add(new SimulatedCallers("entry-" + number, simulation, endpoints, claims));
            workers.add(new SimulatedWorker("worker-" + number, simulation));
        }
        operators =
                new SimulatedOperators(
                        simulation,
                        withdrawn -> entries.forEach(entry -> entry.keyWithdrawnAt = withdrawn));
    }

    /** Runs with faults, then without, and returns how often each event occurred. */
    Map<String, Integer> run(long milliseconds) {
        simulation.run(5_000, this::checkInvariants);
        operators.changeRulesConcurrently(true);
        simulation.run(
                milliseconds,
                () -> {
                    generateLoad();
                    injectFaults();
                    checkInvariants();
                });
        settle();
        occurrences.put(
                "requests completed", (int) entries.stream().mapToLong(e -> e.completed).sum());
        occurrences.put("task starts", (int) workers.stream().mapToLong(w -> w.starts).sum());
        occurrences.put("rule changes", (int) operators.accepted);
        occurrences.put("rule conflicts", (int) operators.conflicts);
        occurrences.put("jobs", jobs.get());
        occurrences.put(
                "snapshots", (int) simulation.hosts.stream().mapToLong(h -> h.snapshots()).sum());
        return occurrences;
    }

    long time() {
        return simulation.time;
    }

    private void generateLoad() {
        if (simulation.time % 40 == 0) {
            entries.get(random.nextInt(entries.size())).request();
        }
        if (simulation.time % 1_500 == 0) {
            submit();
        }
        if (simulation.time % 6_000 == 0) {
            operators.changeRulesConcurrently(simulation.time % 18_000 != 0);
        }
    }

    private void submit() {
        JobSpecification specification =
                new JobSpecification("bundle", 2, SimulatedWorker.TASK, 1_000, false, "x");
        RequestId request = new RequestId("job-" + jobs.incrementAndGet());
        simulation.sendUntilAnswered(
                new SubmitJobRequest(
                        Optional.of(
                                new Credential(
                                        new KeyId(SimulatedOperators.KEY),
                                        SimulatedOperators.DIGEST)),
                        Optional.of(request),
                        new QueueName("bundles"),
                        specification),
                () -> true,
                reply -> {});
    }

    private void injectFaults() {
        if (simulation.time < nextFaultAt) {
            return;
        }
        nextFaultAt = simulation.time + random.nextLong(300, 4_000);
        simulation.network.heal();
        simulation.lossRate = random.nextInt(2) * 0.05;
        simulation.network.faultRate(random.nextInt(2) * 0.03);
        SimulatedHost host = simulation.hosts.get(random.nextInt(simulation.hosts.size()));
        switch (random.nextInt(8)) {
            case 0, 1 -> kill(host);
            case 2 -> pause(host);
            case 3, 4 -> isolate(host);
            case 5 -> loseDisk(host);
            case 6 -> restartClient();
            default -> restartWorker();
        }
    }

    private void kill(SimulatedHost host) {
        count("death");
        host.kill();
        simulation.schedule(random.nextLong(100, 3_000), () -> restart(host));
    }

    private void restart(SimulatedHost host) {
        if (!host.isRunning()) {
            host.start(simulation.time);
        }
    }

    private void pause(SimulatedHost host) {
        count("pause");
        host.pause(simulation.time + random.nextLong(100, 6_000));
    }

    private void isolate(SimulatedHost host) {
        count("cut");
        boolean oneWay = random.nextBoolean();
        for (SimulatedHost other : simulation.hosts) {
            if (other != host) {
                simulation.network.cut(host.vm(), other.vm());
                if (!oneWay) {
                    simulation.network.cut(other.vm(), host.vm());
                }
            }
        }
    }

    /** Loses a disk, if the replacement of the last lost one has had time to be promoted. */
    private void loseDisk(SimulatedHost host) {
        if (simulation.time - diskLostAt < 30_000) {
            return;
        }
        diskLostAt = simulation.time;
        count("disk lost");
        host.loseDisk();
        simulation.schedule(500, () -> restart(host));
    }

    private void restartClient() {
        if (random.nextBoolean()) {
            count("entry restart");
            entries.get(random.nextInt(entries.size())).restart();
        } else {
            count("endpoint restart");
            endpoints.get("endpoint-" + random.nextInt(endpoints.size())).restart();
        }
    }

    private void restartWorker() {
        count("worker restart");
        workers.get(random.nextInt(workers.size())).restart();
    }

    private void count(String fault) {
        occurrences.merge(fault, 1, Integer::sum);
    }

    private void checkInvariants() {
        countGroupEvents();
        List<TaskId> tasks = new ArrayList<>();
        for (SimulatedWorker worker : workers) {
            List<TaskId> live = worker.liveTasks();
            assertThat(live.size()).as("tasks on a worker with capacity for 2").isLessThan(3);
            tasks.addAll(live);
        }
        Set<TaskId> distinct = new HashSet<>(tasks);
        assertThat(distinct).as("distinct running tasks").hasSameSizeAs(tasks);
        long requests =
                endpoints.values().stream().mapToLong(endpoint -> endpoint.running(TEAM)).sum();
        assertThat(requests + tasks.size())
                .as("running requests and tasks of the team")
                .isLessThanOrEqualTo(SimulatedOperators.LIMIT);
    }

    /** Counts elections and membership changes, as the ready leader reports them. */
    private void countGroupEvents() {
        if (simulation.time % 50 != 0) {
            return;
        }
        for (SimulatedHost host : simulation.hosts) {
            if (!host.isRunning() || host.isPaused(simulation.time)) {
                continue;
            }
            ReplicationStatus status = host.core().status(host.localTime(simulation.time));
            if (status.ready() && status.term() > highestTerm) {
                highestTerm = status.term();
                count("leader elected");
            }
            if (status.ready() && !status.voters().equals(lastVoters)) {
                lastVoters = status.voters();
                count("membership change");
            }
        }
    }

    private void settle() {
        simulation.network.heal();
        simulation.network.faultRate(0);
        simulation.lossRate = 0;
        simulation.hosts.forEach(host -> host.pause(0));
        simulation.hosts.forEach(this::restart);
        simulation.run(SETTLE_MILLISECONDS, this::checkInvariants);
        List<CellCore> cores = simulation.hosts.stream().map(SimulatedHost::core).toList();
        assertThat(cores)
                .as("replicas at the end")
                .allSatisfy(
                        core -> {
                            assertThat(core.ledger().runningCount()).isZero();
                            assertThat(core.ledger().configuration().text())
                                    .isEqualTo(cores.get(0).ledger().configuration().text());
                        });
    }
}
