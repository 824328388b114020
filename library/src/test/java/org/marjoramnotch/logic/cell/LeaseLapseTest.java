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
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.placement.PlacementSettings;
import org.marjoramnotch.logic.replication.HardState;
import org.marjoramnotch.logic.replication.RecoveredState;
import org.marjoramnotch.logic.replication.Replica;
import org.marjoramnotch.logic.replication.ReplicaSettings;
import org.marjoramnotch.logic.replication.ReplicationEffects.Outgoing;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.NotLeader;
import org.marjoramnotch.model.message.ReadRules;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Membership;

/**
 * Replicas on slow processors: a batch of inputs takes a leader so long that its lease lapses
 * before it reads the acknowledgements, but not so long that another replica stands for election.
 */
class LeaseLapseTest {
    private static final long ELECTION_MINIMUM_MILLISECONDS = 500;
    private static final long ELECTION_MAXIMUM_MILLISECONDS = 650;
    private static final long HEARTBEAT_MILLISECONDS = 100;
    private static final long LATENCY_MILLISECONDS = 1;
    private static final long ROUND_TRIP_MILLISECONDS = 2 * LATENCY_MILLISECONDS;
    private static final long TICK_MILLISECONDS = 45;
    private static final long ELECTED_BY = 3_000;
    private static final long SLOW_BATCH_INTERVAL_MILLISECONDS = 1_000;
    private static final long END = 12_000;

    private final Map<VmId, Host> hosts = new LinkedHashMap<>();
    private final List<String> events = new ArrayList<>();
    private int answers;
    private long now;

    @ParameterizedTest(name = "{0} voters, slow batches of {1} ms")
    @CsvSource({"3, 488", "5, 488", "3, 494", "5, 494"})
    void dutiesGoOnAfterTheLeaseLapsedWithinTerm(int voters, long batchMilliseconds) {
        startAll(voters);
        while (now < ELECTED_BY) {
            advance();
        }
        assertThat(events).containsExactly("leader_duties_started");
        hosts.values().forEach(host -> host.slowBatchMilliseconds = batchMilliseconds);
        while (now < END) {
            advance();
        }
        assertThat(events).containsOnlyOnce("leader_duties_started");
        assertThat(events).doesNotContain("leader_duties_ended");
        assertThat(events).contains("leader_lease_lapsed", "leader_lease_regained");
        assertThat(answers).isGreaterThan(100);
    }

    private void advance() {
        now++;
        hosts.values().forEach(Host::run);
    }

    private void startAll(int voters) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(voters);
        List<ReplicaId> members =
                IntStream.rangeClosed(1, voters)
                        .mapToObj(number -> new ReplicaId(new VmId("vm-" + number), "disk"))
                        .toList();
        Set<VmId> vms = members.stream().map(ReplicaId::vm).collect(Collectors.toSet());
        Membership membership = Membership.foundedBy(members);
        for (ReplicaId member : members) {
            ReplicaSettings settings =
                    ReplicaSettings.builder(member, vms)
                            .electionTimeoutMilliseconds(
                                    ELECTION_MINIMUM_MILLISECONDS, ELECTION_MAXIMUM_MILLISECONDS)
                            .heartbeatIntervalMilliseconds(HEARTBEAT_MILLISECONDS)
                            .build();
            HardState hardState =
                    new HardState(1, Optional.empty(), Optional.of(membership.group()));
            Replica replica =
                    new Replica(
                            settings,
                            new RecoveredState(
                                    hardState,
                                    Optional.empty(),
                                    List.of(LogEntry.membership(1, 1, membership))),
                            random,
                            now);
            CellCore core =
                    new CellCore(
                            new CellSettings(100),
                            replica,
                            new ReferenceCodec(),
                            new StandardLeaderDutyFactory(
                                    PlacementSettings.defaults(), JobSettings.defaults(), random));
            hosts.put(member.vm(), new Host(member, core));
        }
    }

    private record Delivery(long at, ReplicaId from, Outgoing message) {}

    /** A process that takes long for one batch in each second while it leads. */
    private final class Host {
        private final ReplicaId self;
        private final CellCore core;
        private final List<Delivery> inbox = new ArrayList<>();
        private long slowBatchMilliseconds;
        private long nextSlowBatchAt;
        private long lastSentAt;
        private long busyUntil;
        private long nextTickAt;
        private long requests;

        Host(ReplicaId self, CellCore core) {
            this.self = self;
            this.core = core;
        }

        void run() {
            List<Delivery> arrived =
                    inbox.stream().filter(delivery -> delivery.at() <= now).toList();
            if (now < busyUntil || (now < nextTickAt && arrived.isEmpty())) {
                return;
            }
            inbox.removeAll(arrived);
            core.tick(now);
            nextTickAt = now + TICK_MILLISECONDS;
            arrived.forEach(
                    delivery -> core.receive(now, delivery.from(), delivery.message().message()));
            core.request(now, new RequestHandle("link", requests++), new ReadRules());
            core.endBatch(now);
            boolean leads = core.status(now).leader().filter(self::equals).isPresent();
            // The slow batch begins when the last heartbeat has just been acknowledged, so that
            // the followers hear of the leader again before they stand for election.
            boolean acknowledged =
                    !arrived.isEmpty() && now - lastSentAt <= ROUND_TRIP_MILLISECONDS;
            if (leads && acknowledged && now >= nextSlowBatchAt) {
                busyUntil = now + slowBatchMilliseconds;
                nextSlowBatchAt = now + SLOW_BATCH_INTERVAL_MILLISECONDS;
            } else {
                busyUntil = now;
            }
            CellEffects effects = core.takeEffects(busyUntil);
            effects.messages().forEach(this::send);
            lastSentAt = effects.messages().isEmpty() ? lastSentAt : busyUntil;
            answers += (int) effects.replies().stream().filter(reply -> !isRefusal(reply)).count();
            effects.decisionLog().stream()
                    .map(entry -> entry.event())
                    .filter(event -> event.startsWith("leader_"))
                    .forEach(events::add);
        }

        private boolean isRefusal(OutgoingReply reply) {
            return reply.reply() instanceof NotLeader;
        }

        private void send(Outgoing message) {
            long at = busyUntil + LATENCY_MILLISECONDS;
            hosts.get(message.to().vm()).inbox.add(new Delivery(at, self, message));
        }
    }
}
