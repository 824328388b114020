package org.marjoramnotch.logic.workflow;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.marjoramnotch.logic.budget.HeldLimits;
import org.marjoramnotch.logic.budget.HeldState;
import org.marjoramnotch.logic.evacuation.Evacuations;
import org.marjoramnotch.model.command.CancelWorkflow;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.DismissWorker;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.command.FailWorkflow;
import org.marjoramnotch.model.command.ForgetWorkflows;
import org.marjoramnotch.model.command.RecordHeldLimit;
import org.marjoramnotch.model.command.ReplaceConfiguration;
import org.marjoramnotch.model.command.StartRuns;
import org.marjoramnotch.model.command.SubmitWorkflow;
import org.marjoramnotch.model.command.WorkflowCommand;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.AppliedEnd;
import org.marjoramnotch.model.workflow.RunEnd;
import org.marjoramnotch.model.workflow.RunEndEffect;
import org.marjoramnotch.model.workflow.Workflow;
import org.marjoramnotch.model.workflow.WorkflowRecord;
import org.marjoramnotch.model.workflow.WorkflowSnapshot;
import org.marjoramnotch.model.workflow.WorkflowState;

/** The replicated state of configuration, workers and workflows. */
public final class WorkflowLedger {
    private final ConfigurationInForce configuration = new ConfigurationInForce();
    private final EnrolledWorkers workers = new EnrolledWorkers();
    private final Map<JobId, WorkflowEntry> workflows = new LinkedHashMap<>();
    private final Map<JobId, WorkflowEntry> active = new LinkedHashMap<>();
    private final TeamConsumption consumption = new TeamConsumption();
    private final RunTransitions runs = new RunTransitions(this, consumption);
    private final FleetHistory history = new FleetHistory();
    private final Evacuations evacuations = new Evacuations();
    private final HeldState held = new HeldState();
    private final HeldLimits heldLimits = new HeldLimits();

    /** Restores the state from a snapshot. */
    public void restore(WorkflowSnapshot snapshot) {
        history.restore(snapshot.history());
        snapshot.configuration()
                .ifPresent(
                        stored ->
                                activate(
                                        stored, snapshot.configurationProposedEpochMilliseconds()));
        snapshot.workers().forEach(history::record);
        workers.restore(snapshot);
        evacuations.restore(snapshot.evacuations(), snapshot.workers());
        for (WorkflowRecord stored : snapshot.workflows()) {
            WorkflowEntry entry = new WorkflowEntry(stored, configuration.shared(stored.queue()));
            workflows.put(entry.id(), entry);
            if (!entry.state().isFinal()) {
                active.put(entry.id(), entry);
            }
            runs.restore(entry);
            recount(entry);
        }
        heldLimits.restore(snapshot.heldLimits());
    }

    /** Returns a snapshot of the whole state. */
    public WorkflowSnapshot snapshot() {
        return new WorkflowSnapshot(
                configuration.configuration(),
                workers.all().stream().map(WorkerEntry::worker).toList(),
                workflows.values().stream().map(WorkflowEntry::snapshot).toList(),
                history.snapshot(),
                configuration.proposedEpochMilliseconds().orElse(0),
                workers.followers(),
                workers.inheritedLeases(),
                workers.dismissed(),
                evacuations.snapshot(),
                heldLimits.snapshot());
    }

    /** Applies a command, with the same result on every replica. */
    public CommandResult apply(WorkflowCommand command) {
        evacuations.apply(command);
        if (command instanceof StartRuns start) {
            runs.start(start);
        } else if (command instanceof EndRuns end) {
            return new CommandResult.RunsEnded(runs.end(end));
        } else if (command instanceof SubmitWorkflow submit) {
            return apply(submit);
        } else if (command instanceof CancelWorkflow cancel) {
            endWorkflow(cancel.workflow(), entry -> entry.end(WorkflowState.CANCELLED));
        } else if (command instanceof FailWorkflow fail) {
            endWorkflow(fail.workflow(), entry -> entry.giveUp(fail.reason()));
        } else if (command instanceof EnrollWorker enroll) {
            return new CommandResult.RunsEnded(enroll(enroll));
        } else if (command instanceof DismissWorker dismiss) {
            return new CommandResult.RunsEnded(dismiss(dismiss));
        } else if (command instanceof ForgetWorkflows forget) {
            forget.workflows().forEach(this::forget);
        } else if (command instanceof ReplaceConfiguration replace) {
            apply(replace);
        } else if (command instanceof RecordHeldLimit record) {
            heldLimits.apply(record);
        }
        return new CommandResult.Accepted();
    }

    /** Returns the configuration in force, if there is one. */
    public Optional<FleetConfiguration> configuration() {
        return configuration.configuration();
    }

    /** Returns when a leader proposed the configuration in force, in Unix time, if known. */
    public OptionalLong configurationProposedEpochMilliseconds() {
        return configuration.proposedEpochMilliseconds();
    }

    Optional<TeamDefinition> team(TeamName name) {
        return configuration.team(name);
    }

    Collection<TeamDefinition> teams() {
        return configuration.teams();
    }

    /** Returns whether the configuration in force has a pool. */
    boolean hasPool(ServiceName name) {
        return configuration.pools().contains(name);
    }

    Collection<WorkerEntry> workers() {
        return workers.all();
    }

    Optional<WorkerEntry> worker(WorkerId id) {
        return workers.of(id);
    }

    /** Returns the kind of a worker, which is its first label; empty if it has none. */
    String kindOf(WorkerId id) {
        return worker(id).flatMap(entry -> entry.worker().labels().stream().findFirst()).orElse("");
    }

    /** Returns the entry of a worker incarnation. */
    Optional<WorkerEntry> worker(WorkerIncarnation incarnation) {
        return workers.of(incarnation);
    }

    Optional<WorkflowEntry> workflow(JobId id) {
        return Optional.ofNullable(workflows.get(id));
    }

    Collection<WorkflowEntry> workflows() {
        return workflows.values();
    }

    /** Returns the workflows that have not ended, oldest first. */
    Collection<WorkflowEntry> active() {
        return active.values();
    }

    /** Returns a workflow that has not ended. */
    Optional<WorkflowEntry> activeWorkflow(JobId id) {
        return Optional.ofNullable(active.get(id));
    }

    /** Updates what depends on a workflow after the start or end of a run, which may end it. */
    void onRunChanged(WorkflowEntry entry) {
        if (entry.state().isFinal()) {
            active.remove(entry.id());
        }
        recount(entry);
    }

    private void recount(WorkflowEntry entry) {
        held.change(entry.workflow().team(), entry.takeChangeOfBytes());
    }

    HeldState held() {
        return held;
    }

    HeldLimits heldLimits() {
        return heldLimits;
    }

    /** Returns the kinds of workers and the team limits that the fleet has had. */
    FleetHistory history() {
        return history;
    }

    /** Returns the evacuations of availability zones. */
    Evacuations evacuations() {
        return evacuations;
    }

    /** Returns what the end of a run of a worker would change now. */
    RunEndEffect effectOf(WorkerIncarnation worker, RunEnd end) {
        return runs.effectOf(worker, worker(worker), end);
    }

    Resources usageOf(TeamName team) {
        return consumption.usage(team);
    }

    private void apply(ReplaceConfiguration replace) {
        FleetConfiguration proposed = replace.configuration();
        if (configuration.isAtLeast(proposed.version())) {
            return;
        }
        Map<QueueName, QueueDefinition> queues = configuration.queues();
        if (configuration().isPresent()) {
            history.recordMoves(queues, proposed, replace.proposedEpochMilliseconds());
        }
        activate(proposed, replace.proposedEpochMilliseconds());
        for (WorkflowEntry entry : active.values()) {
            // A removed queue still applies to the workflows that it had accepted.
            entry.updateQueue(queues.getOrDefault(entry.queue().name(), entry.queue()));
        }
        history.retain(
                configuration.poolsInUse(workers.all(), active.values()),
                configuration.teamsInUse(active.values()));
    }

    private void activate(FleetConfiguration newConfiguration, long proposedEpochMilliseconds) {
        configuration.activate(newConfiguration, proposedEpochMilliseconds);
        history.record(newConfiguration);
    }

    private CommandResult apply(SubmitWorkflow submit) {
        Workflow workflow = submit.workflow();
        if (workflows.containsKey(workflow.id())) {
            return new CommandResult.Accepted();
        }
        QueueDefinition queue = configuration.queues().get(workflow.queue());
        if (queue == null) {
            return new CommandResult.Rejected(
                    Refusal.notRun(
                            ErrorCode.UNKNOWN_QUEUE,
                            "Queue " + workflow.queue() + " was removed; name another queue."));
        }
        long limit = submit.mostHeldBytes();
        if (limit > 0 && held.totalBytes() + WorkflowEntry.heldBytes(workflow) > limit) {
            return new CommandResult.Rejected(
                    Refusal.notRun(
                            ErrorCode.OVERLOADED,
                            "The cell holds as many workflows as it can; submit it again later."));
        }
        WorkflowEntry entry = new WorkflowEntry(workflow, queue);
        workflows.put(workflow.id(), entry);
        active.put(workflow.id(), entry);
        recount(entry);
        return new CommandResult.Accepted();
    }

    private void endWorkflow(JobId id, Consumer<WorkflowEntry> end) {
        WorkflowEntry entry = workflows.get(id);
        if (entry != null) {
            end.accept(entry);
            active.remove(id);
            recount(entry);
        }
    }

    private void forget(JobId id) {
        WorkflowEntry entry = active.containsKey(id) ? null : workflows.remove(id);
        if (entry != null) {
            held.change(entry.workflow().team(), -entry.countedBytes());
        }
    }

    private List<AppliedEnd> enroll(EnrollWorker enroll) {
        history.record(enroll.worker());
        return workers.enroll(enroll)
                .map(earlier -> runs.lapseAll(earlier, enroll.nextLifeEvidence()))
                .orElse(List.of());
    }

    private List<AppliedEnd> dismiss(DismissWorker dismiss) {
        return workers.dismiss(dismiss)
                .map(entry -> runs.lapseAll(entry, dismiss.nextLifeEvidence()))
                .orElse(List.of());
    }
}
