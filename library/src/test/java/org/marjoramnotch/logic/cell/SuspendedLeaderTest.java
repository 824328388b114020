package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.logic.job.JobSettings;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.placement.PlacementSettings;
import org.marjoramnotch.logic.replication.HardState;
import org.marjoramnotch.logic.replication.RecoveredState;
import org.marjoramnotch.logic.replication.Replica;
import org.marjoramnotch.logic.replication.ReplicaSettings;
import org.marjoramnotch.logic.replication.ReplicationEffects.Outgoing;
import org.marjoramnotch.logic.workflow.WorkflowSettings;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.PoolDefinition;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.ApplyRules;
import org.marjoramnotch.model.message.CallTarget;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.NotLeader;
import org.marjoramnotch.model.message.ReadConfiguration;
import org.marjoramnotch.model.message.ReadRules;
import org.marjoramnotch.model.message.ReadWorkflow;
import org.marjoramnotch.model.message.ReleaseWorker;
import org.marjoramnotch.model.message.ReportWorker;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Membership;
import org.marjoramnotch.model.resource.Resources;

/** Machines that are suspended while their steady clocks stand still. */
class SuspendedLeaderTest {
    private static final int REPLICAS = 3;
    private static final long TICK_MILLISECONDS = 45;
    private static final long LATENCY_MILLISECONDS = 2;
    private static final long TIME_LIMIT_MILLISECONDS = 10_000;
    private static final String NEW_QUEUE = "added";
    private static final String HOST = "added.example";
    private static final ServiceName POOL = new ServiceName("gaslog");

    private final Map<VmId, Vm> vms = new LinkedHashMap<>();
    private long now;
    private long requests;

    static Stream<Arguments> changesAndReads() {
        CallTarget added = new CallTarget(HOST, "/added/00000000000000a1", Optional.empty());
        ApplyConfiguration changed = configuration(2, "/" + NEW_QUEUE + "/");
        return Stream.of(
                Arguments.of(rules(0), rules(1), new ReadRules()),
                Arguments.of(configuration(1), changed, new ReadConfiguration()),
                Arguments.of(configuration(1), changed, new ReadWorkflow(added)));
    }

    /** Guards against answers of a former leader whose lease outlives its suspension. */
    @ParameterizedTest(name = "{2}")
    @MethodSource("changesAndReads")
    void leaderThatWakesAnswersNothingFromBeforeItsSuspension(
            CellRequest first, CellRequest second, CellRequest read) {
        start();
        Vm former = awaitLeader();
        awaitReply(former, first);
        former.suspended = true;
        Vm leader = awaitLeader();
        awaitReply(leader, second);
        former.suspended = false;
        assertThat(former.core.mayDecide(former.clock)).isTrue();
        RequestHandle asked = former.request(read);
        assertThat(awaitReply(former, asked)).isInstanceOf(NotLeader.class);
    }

    /** A request whose answer needs no commit, after a change that answers it otherwise. */
    static Stream<Arguments> changesAndAnswersWithoutCommit() {
        WorkerId worker = new WorkerId("worker-1");
        CallTarget queue = new CallTarget(HOST, "/" + NEW_QUEUE + "/", Optional.empty());
        CallTarget workflow =
                new CallTarget(HOST, queue.path() + "00000000000000a1", Optional.empty());
        return Stream.of(
                Arguments.of(
                        configuration(1, "/"),
                        configuration(2, "/", queue.path()),
                        new ReadWorkflow(workflow)),
                Arguments.of(
                        configuration(1, queue.path()), configuration(2), new ReadWorkflow(queue)),
                Arguments.of(
                        configuration(1),
                        enrollment(worker),
                        new ReleaseWorker(worker, OptionalLong.empty())));
    }

    /** Guards against unconfirmed answers to calls and workers, whatever the time of day shows. */
    @ParameterizedTest(name = "{2}")
    @MethodSource("changesAndAnswersWithoutCommit")
    void leaderThatWakesGivesNoAnswerFromItsStateWithoutConfirmation(
            CellRequest first, CellRequest second, CellRequest request) {
        leaderThatWakesAnswersNothingFromBeforeItsSuspension(first, second, request);
    }

    private static ReportWorker enrollment(WorkerId worker) {
        return new ReportWorker(
                new FleetWorker(
                        new WorkerIncarnation(worker, 1),
                        POOL,
                        "10.0.0.1:80",
                        new AvailabilityZone("zone"),
                        new Resources(1_000, 1, 0),
                        List.of(),
                        false),
                1);
    }

    private static ApplyRules rules(long version) {
        return new ApplyRules(
                new RequestId("change-" + version),
                version,
                "team wards share 1 limit " + (version + 1) + " # ward office\n");
    }

    private static ApplyConfiguration configuration(long version, String... prefixes) {
        return new ApplyConfiguration(
                new FleetConfiguration(
                        version,
                        "version " + version,
                        Stream.of(prefixes).map(SuspendedLeaderTest::queue).toList(),
                        List.of(new PoolDefinition(POOL, false, false)),
                        List.of()));
    }

    private static QueueDefinition queue(String prefix) {
        return new QueueDefinition(
                new QueueName(NEW_QUEUE + prefix.length()),
                HOST,
                prefix,
                POOL,
                0,
                1,
                2,
                1_000,
                true,
                Optional.empty());
    }

    private void start() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(REPLICAS);
        ReferenceCodec codec = new ReferenceCodec();
        List<ReplicaId> members =
                IntStream.rangeClosed(1, REPLICAS)
                        .mapToObj(number -> new ReplicaId(new VmId("vm-" + number), "disk"))
                        .toList();
        members.forEach(member -> vms.put(member.vm(), new Vm(member, members, codec, random)));
    }

    private Vm awaitLeader() {
        while (now < TIME_LIMIT_MILLISECONDS) {
            step();
            for (Vm vm : vms.values()) {
                if (!vm.suspended && vm.core.mayDecide(vm.clock)) {
                    return vm;
                }
            }
        }
        throw new AssertionError("no leader was elected");
    }

    private void awaitReply(Vm leader, CellRequest change) {
        CellReply reply = awaitReply(leader, leader.request(change));
        assertThat(reply).isNotInstanceOf(NotLeader.class);
    }

    private CellReply awaitReply(Vm vm, RequestHandle handle) {
        while (now < TIME_LIMIT_MILLISECONDS) {
            step();
            CellReply reply = vm.replies.get(handle);
            if (reply != null) {
                return reply;
            }
        }
        throw new AssertionError("no reply");
    }

    private void step() {
        now++;
        vms.values().stream().filter(vm -> !vm.suspended).forEach(Vm::run);
    }

    private record Delivery(long at, ReplicaId from, Outgoing message) {}

    /** A replica with a steady clock that counts only the time in which the machine runs. */
    private final class Vm {
        private final ReplicaId self;
        private final CellCore core;
        private final List<Delivery> inbox = new ArrayList<>();
        private final Map<RequestHandle, CellReply> replies = new LinkedHashMap<>();
        private boolean suspended;
        private long clock;

        Vm(
                ReplicaId self,
                List<ReplicaId> members,
                PayloadCodec codec,
                UniformRandomProvider random) {
            this.self = self;
            Membership membership = Membership.foundedBy(members);
            Set<VmId> addresses = members.stream().map(ReplicaId::vm).collect(Collectors.toSet());
            Replica replica =
                    new Replica(
                            ReplicaSettings.builder(self, addresses).build(),
                            new RecoveredState(
                                    new HardState(
                                            1, Optional.empty(), Optional.of(membership.group())),
                                    Optional.empty(),
                                    List.of(LogEntry.membership(1, 1, membership))),
                            random,
                            0);
            WorkflowDutySettings workflow =
                    new WorkflowDutySettings(WorkflowSettings.defaults(), () -> now);
            core =
                    new CellCore(
                            new CellSettings(100),
                            replica,
                            codec,
                            new StandardLeaderDutyFactory(
                                    PlacementSettings.defaults(),
                                    JobSettings.defaults(),
                                    random,
                                    Optional.of(workflow),
                                    Optional.empty()));
        }

        RequestHandle request(CellRequest request) {
            RequestHandle handle = new RequestHandle("operator", requests++);
            core.request(clock, handle, request);
            return handle;
        }

        void run() {
            clock++;
            List<Delivery> arrived =
                    inbox.stream().filter(delivery -> delivery.at() <= now).toList();
            inbox.removeAll(arrived);
            arrived.forEach(
                    delivery -> core.receive(clock, delivery.from(), delivery.message().message()));
            if (clock % TICK_MILLISECONDS == 0) {
                core.tick(clock);
            }
            core.endBatch(clock);
            CellEffects effects = core.takeEffects(clock);
            effects.messages().forEach(this::send);
            effects.replies().forEach(reply -> replies.put(reply.handle(), reply.reply()));
        }

        /** Messages to a suspended machine are lost with its connections. */
        private void send(Outgoing message) {
            Vm receiver = vms.get(message.to().vm());
            if (!receiver.suspended) {
                receiver.inbox.add(new Delivery(now + LATENCY_MILLISECONDS, self, message));
            }
        }
    }
}
