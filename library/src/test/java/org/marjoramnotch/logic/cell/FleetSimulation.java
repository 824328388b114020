package org.marjoramnotch.logic.cell;

import static org.marjoramnotch.logic.cell.MicrosecondTimeline.MILLISECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.logic.job.JobSettings;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.placement.PlacementSettings;
import org.marjoramnotch.logic.replication.MembershipPolicy;
import org.marjoramnotch.logic.replication.RecoveredState;
import org.marjoramnotch.logic.replication.Replica;
import org.marjoramnotch.logic.replication.ReplicationEffects;
import org.marjoramnotch.logic.workflow.TestFleet;
import org.marjoramnotch.logic.workflow.WorkflowSettings;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.NotLeader;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/** Simulates the replicas of a cell together with the workers that they lead. */
final class FleetSimulation {
    static final long EPOCH = 1_700_000_000_000L;
    private static final int ENTRIES_BETWEEN_SNAPSHOTS = 150;
    private static final int ZONES = 3;
    private static final long RESEND_MILLISECONDS = 400;
    private static final long REPORT_MILLISECONDS = 1_500;
    private static final long REPORT_TIMEOUT_MILLISECONDS = 1_400;
    private static final FleetNetwork.Machine CLIENT = new FleetNetwork.Machine("client", -1);

    final UniformRandomProvider random;
    final MicrosecondTimeline timeline = new MicrosecondTimeline();
    final FleetNetwork network;
    final FleetTrace trace;
    final FleetCalls calls;
    final StartOnceChecker checker;
    final List<FleetHost> hosts = new ArrayList<>();
    final List<FleetWorkerNode> workers = new ArrayList<>();
    private final ReferenceCodec codec = new ReferenceCodec();
    private final CellGroup group;
    private final Map<VmId, FleetHost> hostsByVm = new HashMap<>();
    private final Map<WorkerId, FleetWorkerNode> workersById = new HashMap<>();
    private final Map<String, WorkflowDraft> drafts = new HashMap<>();
    private final Map<RequestHandle, Consumer<CellReply>> awaiting = new HashMap<>();
    private final Map<String, Integer> occurrences = new TreeMap<>();
    private int presumedLeader;
    private long requests;

    FleetSimulation(long seed, int replicas, int workerCount, boolean traced) {
        this(seed, replicas, workerCount, traced, TestFleet.configuration(1));
    }

    FleetSimulation(
            long seed,
            int replicas,
            int workerCount,
            boolean traced,
            FleetConfiguration configuration) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        trace = new FleetTrace(traced, timeline::now);
        network = new FleetNetwork(random);
        calls = new FleetCalls(this);
        checker = new StartOnceChecker(trace, configuration.queues().get(0).mostFailures());
        List<ReplicaId> founders =
                CellGroup.fixed(replicas).vms().stream()
                        .sorted()
                        .map(vm -> new ReplicaId(vm, CellGroup.identity(0)))
                        .toList();
        group = new CellGroup(CellGroup.fixed(replicas).vms(), founders, MembershipPolicy.fixed());
        for (ReplicaId founder : founders) {
            FleetNetwork.Machine machine =
                    new FleetNetwork.Machine(founder.vm().value(), hosts.size() % ZONES);
            FleetHost host = new FleetHost(machine, this);
            hosts.add(host);
            hostsByVm.put(founder.vm(), host);
        }
        hosts.forEach(this::start);
        addWorkers(workerCount, configuration);
    }

    private void addWorkers(int count, FleetConfiguration configuration) {
        sendUntilAnswered(CLIENT, new ApplyConfiguration(configuration), Long.MAX_VALUE);
        for (int index = 0; index < count; index++) {
            FleetNetwork.Machine machine =
                    new FleetNetwork.Machine("worker-" + index, index % ZONES);
            FleetWorkerNode worker =
                    new FleetWorkerNode(machine, this, configuration.pools().get(0).name());
            workers.add(worker);
            workersById.put(worker.id(), worker);
            timeline.after(
                    random.nextLong(REPORT_MILLISECONDS * MILLISECOND), () -> report(worker));
        }
    }

    private void report(FleetWorkerNode worker) {
        reportNow(worker);
        timeline.after(REPORT_MILLISECONDS * MILLISECOND, () -> report(worker));
    }

    void reportNow(FleetWorkerNode worker) {
        long until = timeline.now() + REPORT_TIMEOUT_MILLISECONDS * MILLISECOND;
        worker.report().ifPresent(report -> sendUntilAnswered(worker.machine, report, until));
    }

    /** Starts the process of a host from what its disk has. */
    void start(FleetHost host) {
        host.start((recovered, now) -> newCore(host, recovered, now));
    }

    private CellCore newCore(FleetHost host, RecoveredState recovered, long now) {
        Replica replica = new Replica(group.replicaSettings(idOf(host)), recovered, random, now);
        replica.foundGroup(group.founders());
        return new CellCore(
                new CellSettings(ENTRIES_BETWEEN_SNAPSHOTS),
                replica,
                codec,
                new StandardLeaderDutyFactory(
                        PlacementSettings.defaults(),
                        JobSettings.defaults(),
                        random,
                        Optional.of(
                                new WorkflowDutySettings(
                                        WorkflowSettings.defaults(),
                                        () -> EPOCH + timeline.now() / MILLISECOND)),
                        Optional.empty()));
    }

    private static ReplicaId idOf(FleetHost host) {
        return new ReplicaId(new VmId(host.machine.name()), CellGroup.identity(0));
    }

    FleetWorkerNode worker(WorkerId id) {
        return Objects.requireNonNull(workersById.get(id));
    }

    void run(long milliseconds) {
        timeline.runUntil(timeline.now() + milliseconds * MILLISECOND);
    }

    void count(String occurrence) {
        occurrences.merge(occurrence, 1, Integer::sum);
    }

    /** Counts the decisions that a scenario is about. */
    void onDecision(DecisionLogEntry entry) {
        if (entry.event().equals("run_preempted")) {
            count("preempted");
        }
    }

    Map<String, Integer> occurrences() {
        return occurrences;
    }

    /** Makes the steps of a workflow known to the workers. */
    void register(String workflow, WorkflowDraft draft) {
        drafts.put(workflow, draft);
    }

    StepDefinition stepOf(StepId step) {
        return Objects.requireNonNull(drafts.get(step.workflow().value())).steps().get(step.step());
    }

    /** Sends a request of a client repeatedly until it is answered by a leader. */
    void request(CellRequest request) {
        sendUntilAnswered(CLIENT, request, Long.MAX_VALUE);
    }

    private void sendUntilAnswered(FleetNetwork.Machine from, CellRequest request, long until) {
        new Attempts(from, request, until).send();
    }

    /** The attempts to send one request. */
    private final class Attempts {
        private final FleetNetwork.Machine from;
        private final CellRequest request;
        private final long until;
        private boolean answered;
        private long attempt;

        Attempts(FleetNetwork.Machine from, CellRequest request, long until) {
            this.from = from;
            this.request = request;
            this.until = until;
        }

        void send() {
            if (answered || timeline.now() >= until) {
                return;
            }
            attempt++;
            long current = attempt;
            FleetHost host = hosts.get(presumedLeader);
            RequestHandle handle = new RequestHandle("client", requests++);
            awaiting.put(handle, this::onReply);
            if (!network.isCut(from, host.machine)) {
                timeline.after(
                        network.delay(from, host.machine),
                        () ->
                                host.offer(
                                        FleetHost.Step.REQUEST,
                                        (core, now) -> core.request(now, handle, request)));
            }
            timeline.after(RESEND_MILLISECONDS * MILLISECOND, () -> sendAgain(current));
        }

        private void sendAgain(long afterAttempt) {
            if (!answered && attempt == afterAttempt) {
                presumedLeader = random.nextInt(hosts.size());
                send();
            }
        }

        private void onReply(CellReply reply) {
            if (reply instanceof NotLeader) {
                long current = attempt;
                timeline.after(30 * MILLISECOND, () -> sendAgain(current));
            } else {
                answered = true;
            }
        }
    }

    void onReply(OutgoingReply outgoing) {
        Consumer<CellReply> receiver = awaiting.remove(outgoing.handle());
        if (receiver != null) {
            receiver.accept(outgoing.reply());
        }
    }

    void sendMessage(FleetHost from, ReplicationEffects.Outgoing message) {
        FleetHost to = Objects.requireNonNull(hostsByVm.get(message.to().vm()));
        from.runLater(
                10,
                () -> {
                    if (network.isCut(from.machine, to.machine)) {
                        return;
                    }
                    timeline.after(
                            network.delay(from.machine, to.machine),
                            () ->
                                    to.offer(
                                            FleetHost.Step.COMMIT,
                                            (core, now) ->
                                                    core.receive(
                                                            now, idOf(from), message.message())));
                });
    }
}
