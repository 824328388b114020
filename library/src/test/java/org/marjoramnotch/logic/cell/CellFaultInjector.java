package org.marjoramnotch.logic.cell;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.logic.replication.PromotionDetector;
import org.marjoramnotch.logic.replication.ReplicationStatus;
import org.marjoramnotch.logic.replication.StorageWrite;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;

/** Injects random faults into a cell; loses at most the tolerable number of disks at once. */
final class CellFaultInjector {
    private static final long CATCH_UP_MILLISECONDS = 6_000;
    private static final int RESTART_MILLISECONDS = 800;

    /** Faults that wait for an event, and are counted when it occurs. */
    private static final Set<CellFault> LATER_FAULTS =
            EnumSet.of(
                    CellFault.DISK_FULL_DURING_ENTRY,
                    CellFault.DISK_FULL_DURING_SNAPSHOT,
                    CellFault.PROMOTED_VOTER_KILLED);

    private final CellSimulation simulation;
    private final UniformRandomProvider random;
    private final int losses;
    private final List<CellFault> faults;
    private final PromotionDetector promotions = new PromotionDetector();
    private final Map<CellFault, Long> counts = new EnumMap<>(CellFault.class);
    private long nextFaultAt;
    private long disturbedAt;
    private long healAt;
    private int lostDisks;
    private boolean killsPromotedVoter;

    /**
     * Creates an injector.
     *
     * @param losses how many disks may be lost at once
     */
    CellFaultInjector(CellSimulation simulation, int losses, Set<CellFault> faults) {
        this.simulation = simulation;
        this.random = simulation.random;
        this.losses = losses;
        this.faults = faults.stream().sorted().toList();
    }

    Map<CellFault, Long> counts() {
        return counts;
    }

    void step() {
        if (now() == healAt) {
            simulation.network.heal();
        }
        if (now() < healAt || !simulation.hosts.stream().allMatch(host -> host.isActive(now()))) {
            disturbedAt = now();
        }
        if (now() >= disturbedAt + CATCH_UP_MILLISECONDS) {
            lostDisks = 0;
        }
        restartEnded();
        if (killsPromotedVoter) {
            killPromotedVoter();
        }
        if (now() >= nextFaultAt) {
            boolean longPause = random.nextInt(4) == 0;
            nextFaultAt = now() + random.nextLong(100, longPause ? 12_000 : 2_500);
            simulation.lossRate = random.nextBoolean() ? 0 : 0.05;
            simulation.network.faultRate(random.nextBoolean() ? 0 : 0.03);
            inject(faults.get(random.nextInt(faults.size())));
        }
    }

    /** Ends all faults, then loses the tolerable number of disks as the last one. */
    void loseDisksAtEnd() {
        simulation.network.heal();
        simulation.network.faultRate(0);
        simulation.lossRate = 0;
        nextFaultAt = Long.MAX_VALUE;
        killsPromotedVoter = false;
        while (lostDisks > 0) {
            simulation.run(1, this::step);
        }
        inject(random.nextBoolean() ? CellFault.DISKS_LOST : CellFault.DISKS_LOST_AND_ALL_KILLED);
    }

    private void inject(CellFault fault) {
        SimulatedHost target = leader().filter(host -> random.nextBoolean()).orElse(randomHost());
        long until = now() + random.nextLong(500, 4_000);
        boolean injected = true;
        switch (fault) {
            case KILL -> target.kill();
            case ALL_KILLED -> simulation.hosts.forEach(SimulatedHost::kill);
            case DISKS_LOST -> injected = loseDisks(target);
            case DISKS_LOST_AND_ALL_KILLED -> {
                injected = loseDisks(target);
                simulation.hosts.forEach(SimulatedHost::kill);
            }
            case HALVES -> {
                List<VmId> half =
                        simulation.hosts.stream()
                                .map(SimulatedHost::vm)
                                .filter(vm -> random.nextBoolean())
                                .toList();
                cut(half::contains, until);
            }
            case ISOLATION -> cut(target.vm()::equals, until);
            case PAUSE -> target.pause(until);
            case SUSPENSION -> target.suspend(now(), until);
            case DISK_FULL_DURING_ENTRY ->
                    target.refuseNext(StorageWrite.AppendLog.class, () -> count(fault));
            case DISK_FULL_DURING_SNAPSHOT ->
                    target.refuseNext(StorageWrite.SaveSnapshot.class, () -> count(fault));
            default -> {
                promotions.reset();
                killsPromotedVoter = true;
            }
        }
        if (injected && !LATER_FAULTS.contains(fault)) {
            count(fault);
        }
    }

    private boolean loseDisks(SimulatedHost first) {
        if (lostDisks >= losses) {
            return false;
        }
        List<SimulatedHost> remaining = new ArrayList<>(simulation.hosts);
        SimulatedHost target = first;
        for (int count = 1 + random.nextInt(losses - lostDisks); count > 0; count--) {
            lostDisks++;
            remaining.remove(target);
            target.loseDisk();
            target = remaining.get(random.nextInt(remaining.size()));
        }
        return true;
    }

    private void cut(Predicate<VmId> side, long until) {
        for (SimulatedHost one : simulation.hosts) {
            for (SimulatedHost other : simulation.hosts) {
                if (side.test(one.vm()) != side.test(other.vm())) {
                    simulation.network.cut(one.vm(), other.vm());
                }
            }
        }
        healAt = until;
    }

    private void restartEnded() {
        simulation.hosts.stream()
                .filter(host -> !host.isRunning())
                .filter(host -> random.nextInt(RESTART_MILLISECONDS) == 0)
                .forEach(host -> host.start(now()));
    }

    /** Kills a voter that was a learner shortly before, and loses its disk if that is tolerable. */
    private void killPromotedVoter() {
        Set<ReplicaId> promoted = promotions.detect(leader().map(this::status));
        simulation.hosts.stream()
                .filter(host -> promoted.contains(host.id()))
                .forEach(
                        host -> {
                            killsPromotedVoter = false;
                            count(CellFault.PROMOTED_VOTER_KILLED);
                            if (random.nextBoolean() || !loseDisks(host)) {
                                host.kill();
                            }
                        });
    }

    private ReplicationStatus status(SimulatedHost host) {
        return host.status(now());
    }

    private Optional<SimulatedHost> leader() {
        return simulation.hosts.stream()
                .filter(host -> host.isActive(now()))
                .filter(host -> status(host).ready())
                .findFirst();
    }

    private SimulatedHost randomHost() {
        return simulation.hosts.get(random.nextInt(simulation.hosts.size()));
    }

    private void count(CellFault fault) {
        counts.merge(fault, 1L, Long::sum);
    }

    private long now() {
        return simulation.time;
    }
}
