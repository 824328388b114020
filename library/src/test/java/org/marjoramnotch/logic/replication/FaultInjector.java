package org.marjoramnotch.logic.replication;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.replication.Membership;

/** Injects random faults into a simulation, at most as many at once as the group must survive. */
final class FaultInjector {
    private static final long RESTART_MILLISECONDS = 4_000;

    private final ReplicationSimulation simulation;
    private final UniformRandomProvider random;
    private final Coverage coverage;
    private final List<Runnable> faults;
    private long nextFaultAt;
    private long healAt;
    private long repairedAt = -1;
    private boolean repairing;

    FaultInjector(ReplicationSimulation simulation) {
        this.simulation = simulation;
        this.random = simulation.random();
        this.coverage = simulation.coverage();
        this.faults =
                List.of(
                        this::cutOneWay,
                        this::cutTwoWay,
                        this::isolate,
                        this::kill,
                        this::kill,
                        this::pause,
                        this::transfer,
                        this::loseDisk,
                        this::loseDisk);
    }

    void step() {
        simulation.step();
        checkRepair();
        restartDead();
        if (simulation.time() >= healAt) {
            simulation.network().heal();
        }
        if (simulation.time() >= nextFaultAt) {
            nextFaultAt = simulation.time() + random.nextLong(100, 2_500);
            simulation.network().faultRate(random.nextDouble() < 0.5 ? 0 : 0.03);
            faults.get(random.nextInt(faults.size())).run();
        }
    }

    private void cutOneWay() {
        SimulatedReplica from = leaderOrRandomReplica();
        for (SimulatedReplica other : simulation.replicas()) {
            simulation.network().cut(from.id().vm(), other.id().vm());
        }
        cut(CoveredEvent.ONE_WAY_CUT);
    }

    private void cutTwoWay() {
        SimulatedReplica one = randomReplica();
        SimulatedReplica other = randomReplica();
        simulation.network().cut(one.id().vm(), other.id().vm());
        simulation.network().cut(other.id().vm(), one.id().vm());
        cut(CoveredEvent.TWO_WAY_CUT);
    }

    private void isolate() {
        simulation.isolate(leaderOrRandomReplica());
        cut(CoveredEvent.ISOLATION);
    }

    private void cut(CoveredEvent event) {
        coverage.count(event);
        healAt = simulation.time() + random.nextLong(200, 6_000);
    }

    private void kill() {
        SimulatedReplica.Death[] deaths = SimulatedReplica.Death.values();
        randomReplica().planDeath(deaths[1 + random.nextInt(deaths.length - 1)]);
    }

    private void pause() {
        SimulatedReplica target = leaderOrRandomReplica();
        long milliseconds = random.nextLong(50, 4_000);
        if (milliseconds > SimulationSettings.ELECTION_TIMEOUT_MILLISECONDS) {
            coverage.count(CoveredEvent.PAUSE_PAST_LEASE);
        }
        target.pause(simulation.time() + milliseconds);
    }

    private void transfer() {
        simulation
                .readyLeader()
                .ifPresent(leader -> leader.replica().transferLeadership(leader.localTime(now())));
    }

    /** Loses a disk, unless the group would then have lost more identities than it can survive. */
    private void loseDisk() {
        if (lostIdentities() * 2 + 2 >= simulation.replicas().size()) {
            return;
        }
        coverage.count(CoveredEvent.DISK_LOSS);
        if (repairedAt >= 0 && now() - repairedAt < 500) {
            coverage.count(CoveredEvent.LOSS_RIGHT_AFTER_REPAIR);
        }
        repairing = true;
        repairedAt = -1;
        randomReplica().loseDisk();
    }

    /**
     * Checks whether the last lost VM was replaced, and sometimes loses a second one soon
     * afterwards.
     */
    private void checkRepair() {
        if (repairing && lostIdentities() == 0) {
            repairing = false;
            repairedAt = now();
            if (random.nextBoolean()) {
                loseDisk();
            }
        }
    }

    /**
     * Returns the number of VMs without a voter in the committed membership; all VMs if no leader
     * is ready.
     */
    private int lostIdentities() {
        int size = simulation.replicas().size();
        return simulation
                .readyLeader()
                .map(
                        leader -> {
                            Membership committed =
                                    leader.storage()
                                            .membershipAt(leader.status(now()).commitIndex());
                            List<ReplicaId> present =
                                    simulation.replicas().stream()
                                            .map(SimulatedReplica::id)
                                            .filter(committed.voters()::contains)
                                            .toList();
                            return size - present.size();
                        })
                .orElse(size);
    }

    private void restartDead() {
        simulation.replicas().stream()
                .filter(replica -> !replica.isRunning())
                .filter(replica -> random.nextLong(RESTART_MILLISECONDS) == 0)
                .forEach(replica -> replica.start(now()));
    }

    private SimulatedReplica randomReplica() {
        return simulation.replicas().get(random.nextInt(simulation.replicas().size()));
    }

    private SimulatedReplica leaderOrRandomReplica() {
        return simulation
                .readyLeader()
                .filter(leader -> random.nextBoolean())
                .orElseGet(this::randomReplica);
    }

    private long now() {
        return simulation.time();
    }
}
