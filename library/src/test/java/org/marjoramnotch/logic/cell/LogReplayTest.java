package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.logic.job.JobSettings;
import org.marjoramnotch.logic.placement.PlacementSettings;
import org.marjoramnotch.logic.replication.HardState;
import org.marjoramnotch.logic.replication.RecoveredState;
import org.marjoramnotch.logic.replication.Replica;
import org.marjoramnotch.logic.replication.ReplicaSettings;
import org.marjoramnotch.logic.replication.ReplicationEffects.Outgoing;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Membership;

/**
 * Restarts all replicas of a group at once. Each replica has to apply its whole log, which takes
 * several election timeouts.
 */
class LogReplayTest {
    private static final int ENTRIES = 4_000;
    private static final long APPLY_MILLISECONDS = 1;
    private static final long LATENCY_MILLISECONDS = 2;
    private static final long TICK_MILLISECONDS = 45;

    /** Time for an election besides the replay. */
    private static final long ELECTION_MILLISECONDS = 3_000;

    private static final Command COMMAND =
            new EndRuns(new WorkerIncarnation(new WorkerId("w-1"), 1), List.of());

    private final Map<VmId, Host> hosts = new LinkedHashMap<>();
    private final List<String> decisions = new ArrayList<>();
    private long now;

    @ParameterizedTest(name = "{0} voters, seed {1}")
    @CsvSource({"3, 1", "3, 2", "3, 3", "5, 1", "5, 2", "5, 3"})
    void leaderKeepsItsLeaseWhileTheLogIsReplayed(int voters, long seed) {
        startAll(voters, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
        long end = ENTRIES * APPLY_MILLISECONDS + ELECTION_MILLISECONDS;
        while (now < end) {
            now++;
            hosts.values().forEach(Host::run);
        }
        assertThat(decisions).containsExactly("leader_duties_started");
    }

    private void startAll(int voters, UniformRandomProvider random) {
        List<ReplicaId> members =
                IntStream.rangeClosed(1, voters)
                        .mapToObj(number -> new ReplicaId(new VmId("vm-" + number), "disk"))
                        .toList();
        Membership membership = Membership.foundedBy(members);
        Set<VmId> vms = members.stream().map(ReplicaId::vm).collect(Collectors.toSet());
        for (ReplicaId member : members) {
            ReferenceCodec codec = new ReferenceCodec();
            byte[] payload = codec.encode(COMMAND);
            List<LogEntry> entries = new ArrayList<>();
            entries.add(LogEntry.membership(1, 1, membership));
            for (int index = 2; index <= ENTRIES; index++) {
                entries.add(LogEntry.payload(index, 1, payload));
            }
            HardState hardState =
                    new HardState(1, Optional.empty(), Optional.of(membership.group()));
            Replica replica =
                    new Replica(
                            ReplicaSettings.builder(member, vms).build(),
                            new RecoveredState(hardState, Optional.empty(), entries),
                            random,
                            now);
            CellCore core =
                    new CellCore(
                            new CellSettings(2 * ENTRIES),
                            replica,
                            codec,
                            new StandardLeaderDutyFactory(
                                    PlacementSettings.defaults(), JobSettings.defaults(), random));
            hosts.put(member.vm(), new Host(member, core));
        }
    }

    private record Delivery(long at, ReplicaId from, Outgoing message) {}

    /** A process that handles nothing else while it applies entries. */
    private final class Host {
        private final ReplicaId self;
        private final CellCore core;
        private final List<Delivery> inbox = new ArrayList<>();
        private long busyUntil;
        private long nextTickAt;

        Host(ReplicaId self, CellCore core) {
            this.self = self;
            this.core = core;
        }

        void run() {
            boolean due = now >= nextTickAt || core.hasUnappliedEntries();
            List<Delivery> arrived =
                    inbox.stream().filter(delivery -> delivery.at() <= now).toList();
            if (now < busyUntil || (!due && arrived.isEmpty())) {
                return;
            }
            inbox.removeAll(arrived);
            long appliedBefore = core.appliedState().index();
            if (due) {
                core.tick(now);
                nextTickAt = now + TICK_MILLISECONDS;
            }
            arrived.forEach(
                    delivery -> core.receive(now, delivery.from(), delivery.message().message()));
            core.endBatch(now);
            CellEffects effects = core.takeEffects(now);
            busyUntil = now + (core.appliedState().index() - appliedBefore) * APPLY_MILLISECONDS;
            effects.messages().forEach(this::send);
            effects.decisionLog().stream()
                    .map(entry -> entry.event())
                    .filter(event -> event.startsWith("leader_duties"))
                    .forEach(decisions::add);
        }

        private void send(Outgoing message) {
            long at = busyUntil + LATENCY_MILLISECONDS;
            hosts.get(message.to().vm()).inbox.add(new Delivery(at, self, message));
        }
    }
}
