package org.marjoramnotch.logic.replication;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.model.identifier.VmId;

/** Brings faults into a group, with at most the tolerable number of disks lost at once. */
final class OpenGroupFaultInjector {
    private static final int MOST_DISKS_WHILE_FOUNDING = 1;

    private final OpenGroupSimulation simulation;
    private final UniformRandomProvider random;
    private final List<Runnable> faults;
    private long nextFaultAt;
    private long troubledUntil;
    private long healAt;
    private int lostDisks;
    private boolean lossAwaitsAcknowledgement;

    OpenGroupFaultInjector(OpenGroupSimulation simulation) {
        this.simulation = simulation;
        this.random = simulation.random();
        this.nextFaultAt = random.nextLong(4_000);
        this.faults =
                List.of(
                        this::loseDisks,
                        this::loseDisks,
                        this::loseDisksAfterAcknowledgement,
                        this::loseDisksAfterAcknowledgement,
                        this::powerOff,
                        this::kill,
                        this::cutHalves,
                        this::cutOneWay,
                        this::pause,
                        this::transfer,
                        this::exchange);
        if (random.nextInt(4) == 0) {
            OpenGroupVm late = any();
            late.end(random.nextLong(2_000, 6_000));
            troubledUntil = late.startsAt();
            simulation.count(OpenGroupFault.LATE_START);
        }
    }

    void step() {
        simulation.step();
        if (lossAwaitsAcknowledgement && simulation.checker().acknowledgedAt() == now()) {
            lossAwaitsAcknowledgement = false;
            simulation.count(OpenGroupFault.DISKS_LOST_AFTER_ACKNOWLEDGEMENT);
            loseDisks();
        }
        if (now() == healAt) {
            simulation.network().heal();
        }
        if (now() >= troubledUntil + OpenGroupSettings.CATCH_UP_MILLISECONDS && lostDisks > 0) {
            lostDisks = 0;
            if (random.nextBoolean()) {
                simulation.count(OpenGroupFault.DISKS_LOST_IN_A_ROW);
                loseDisks();
            }
        }
        if (now() >= nextFaultAt) {
            boolean pauseToCatchUp = random.nextInt(3) == 0;
            nextFaultAt = now() + random.nextLong(100, pauseToCatchUp ? 12_000 : 2_500);
            simulation.network().faultRate(random.nextBoolean() ? 0 : 0.03);
            faults.get(random.nextInt(faults.size())).run();
        }
    }

    /** Loses what may be lost right after an acknowledgement, as the last fault of a run. */
    void loseAtLast() {
        simulation.network().heal();
        simulation.network().faultRate(0);
        nextFaultAt = Long.MAX_VALUE;
        while (lostDisks > 0) {
            step();
        }
        lossAwaitsAcknowledgement = true;
        for (long end = now() + 30_000; lossAwaitsAcknowledgement && now() < end; ) {
            step();
        }
    }

    private void loseDisksAfterAcknowledgement() {
        lossAwaitsAcknowledgement = true;
    }

    private void loseDisks() {
        boolean founding = !simulation.checker().wasReady();
        int most = founding ? MOST_DISKS_WHILE_FOUNDING : simulation.settings().losses();
        if (lostDisks >= most) {
            return;
        }
        if (founding) {
            simulation.count(OpenGroupFault.DISKS_LOST_WHILE_FOUNDING);
        }
        int count = 1 + random.nextInt(most - lostDisks);
        lostDisks += count;
        List<OpenGroupVm> spared = new ArrayList<>(simulation.vms());
        for (int lost = 0; lost < count; lost++) {
            OpenGroupVm target =
                    lost == 0 ? leaderOrAny() : spared.get(random.nextInt(spared.size()));
            spared.remove(target);
            target.loseDisk(restart());
        }
        int others = random.nextInt(3);
        if (others == 0) {
            simulation.count(OpenGroupFault.DISKS_LOST_AND_ALL_WITHOUT_POWER);
            spared.forEach(vm -> vm.end(restart()));
        } else if (others == 1) {
            simulation.count(OpenGroupFault.DISKS_LOST_AND_ALL_KILLED);
            spared.forEach(vm -> vm.end(troubled(now() + random.nextLong(50, 1_000))));
        }
    }

    private void powerOff() {
        simulation.count(OpenGroupFault.ALL_WITHOUT_POWER);
        simulation.vms().forEach(vm -> vm.end(restart()));
    }

    private void kill() {
        simulation.count(OpenGroupFault.KILL);
        leaderOrAny().end(troubled(now() + random.nextLong(50, 1_000)));
    }

    private void pause() {
        simulation.count(OpenGroupFault.PAUSE);
        leaderOrAny().pause(restart());
    }

    private void transfer() {
        simulation.count(OpenGroupFault.TRANSFER);
        simulation
                .readyLeader()
                .ifPresent(leader -> leader.replica().transferLeadership(leader.local(now())));
    }

    private void cutHalves() {
        simulation.count(OpenGroupFault.HALVES);
        List<VmId> half =
                simulation.vms().stream()
                        .map(vm -> vm.id().vm())
                        .filter(vm -> random.nextBoolean())
                        .toList();
        for (OpenGroupVm one : simulation.vms()) {
            for (OpenGroupVm other : simulation.vms()) {
                if (half.contains(one.id().vm()) != half.contains(other.id().vm())) {
                    simulation.network().cut(one.id().vm(), other.id().vm());
                }
            }
        }
        healAt = restart();
    }

    private void cutOneWay() {
        simulation.count(OpenGroupFault.ONE_WAY_CUT);
        OpenGroupVm one = leaderOrAny();
        boolean from = random.nextBoolean();
        for (OpenGroupVm other : simulation.vms()) {
            VmId sender = (from ? one : other).id().vm();
            VmId receiver = (from ? other : one).id().vm();
            simulation.network().cut(sender, receiver);
        }
        healAt = restart();
    }

    /** Replaces a VM by one at another address, and the seeds with it. */
    private void exchange() {
        if (!simulation.checker().wasReady() || lostDisks >= simulation.settings().losses()) {
            return;
        }
        simulation.count(OpenGroupFault.EXCHANGE);
        lostDisks++;
        simulation.vms().remove(any());
        simulation.add(restart());
        List<VmId> present =
                new ArrayList<>(simulation.vms().stream().map(vm -> vm.id().vm()).toList());
        while (present.size() > 3) {
            present.remove(random.nextInt(present.size()));
        }
        simulation.useSeeds(present);
    }

    private long restart() {
        return troubled(now() + random.nextLong(500, 4_000));
    }

    private long troubled(long until) {
        troubledUntil = Math.max(troubledUntil, until);
        return until;
    }

    private OpenGroupVm any() {
        return simulation.vms().get(random.nextInt(simulation.vms().size()));
    }

    private OpenGroupVm leaderOrAny() {
        return simulation.readyLeader().filter(leader -> random.nextBoolean()).orElseGet(this::any);
    }

    private long now() {
        return simulation.time();
    }
}
