package org.marjoramnotch.logic.workflow;

import java.util.Optional;
import org.marjoramnotch.logic.admission.AdmissionPolicy;
import org.marjoramnotch.logic.admission.Submission;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.CancelWorkflow;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.FailWorkflow;
import org.marjoramnotch.model.command.SubmitWorkflow;
import org.marjoramnotch.model.command.WorkflowCommand;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.CancelWorkflowRequest;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.QueueAnswer;
import org.marjoramnotch.model.message.ReadWorkflow;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.message.WorkflowAnswer;
import org.marjoramnotch.model.time.Clock;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.Workflow;
import org.marjoramnotch.model.workflow.WorkflowDraft;
import org.marjoramnotch.model.workflow.WorkflowState;

/** Handles requests to submit, read and cancel workflows. */
final class WorkflowRequestHandler {
    private final WorkflowLedger ledger;
    private final ConfigurationRequestHandler configuration;
    private final LoadMeter load;
    private final FeasibilityCheck feasibilityCheck;
    private final SubmissionRoom room;
    private final Clock wallClock;
    private final AdmissionPolicy admission = new AdmissionPolicy();
    private final PendingReplies<JobId> pendingSubmissions = new PendingReplies<>();
    private final PendingReplies<JobId> pendingCancellations = new PendingReplies<>();

    WorkflowRequestHandler(
            WorkflowLedger ledger,
            ConfigurationRequestHandler configuration,
            LoadMeter load,
            FeasibilityCheck feasibilityCheck,
            SubmissionRoom room,
            Clock wallClock) {
        this.ledger = ledger;
        this.configuration = configuration;
        this.load = load;
        this.feasibilityCheck = feasibilityCheck;
        this.room = room;
        this.wallClock = wallClock;
    }

    void submit(
            long nowMilliseconds,
            RequestHandle handle,
            SubmitWorkflowRequest request,
            LeaderOutput output) {
        RouteTable.Route route = configuration.routes().resolve(request.target());
        JobId id = requireWorkflowName(route);
        if (ledger.workflow(id).isPresent()) {
            output.reply(handle, new Done());
            return;
        }
        if (pendingSubmissions.isPending(id)) {
            pendingSubmissions.add(id, handle);
            return;
        }
        WorkflowDraft draft = request.draft();
        Workflow workflow =
                new Workflow(
                        id,
                        route.queue().name(),
                        route.team(),
                        draft.payload(),
                        draft.steps(),
                        draft.recurrence(),
                        wallClock.nowMilliseconds());
        room.require(nowMilliseconds, workflow, output);
        requireAdmission(nowMilliseconds, workflow, route.queue(), output);
        pendingSubmissions.add(id, handle);
        output.propose(room.reserve(workflow));
    }

    /**
     * Refuses a workflow that can't be served any more. Standing and recurring workflows are always
     * admitted, since they have a worth at any later time, and so are workflows that can never be
     * done, which take no room and soon fail.
     */
    private void requireAdmission(
            long nowMilliseconds, Workflow workflow, QueueDefinition queue, LeaderOutput output) {
        boolean standing = workflow.steps().stream().anyMatch(StepDefinition::standing);
        if (standing
                || workflow.recurrence().isPresent()
                || !feasibilityCheck.canBeDone(workflow, queue)) {
            return;
        }
        Submission submission = SubmissionEstimate.of(workflow, queue, load.ratio(queue));
        AdmissionPolicy.Rejection rejection =
                admission.admit(nowMilliseconds, submission, load.snapshot()).orElse(null);
        if (rejection == null) {
            return;
        }
        output.logDecision(
                DecisionLogEntry.of(
                        "workflow_refused",
                        "workflow",
                        workflow.id(),
                        "queue",
                        queue.name(),
                        "team",
                        workflow.team().map(TeamName::value).orElse("none"),
                        "waits_for",
                        rejection.cause(),
                        "wait_ms",
                        rejection.waitMilliseconds(),
                        "lasting_ms",
                        rejection.lastingMilliseconds(),
                        "limit_ms",
                        rejection.limitMilliseconds(),
                        "retry_after_ms",
                        rejection.retryAfterMilliseconds()));
        throw new MarjoramnotchException(
                Refusal.notRun(
                                ErrorCode.OVERLOADED,
                                "The work before it takes too long; submit it again after the"
                                        + " pause.")
                        .withRetryAfter(rejection.retryAfterMilliseconds()));
    }

    void read(RequestHandle handle, ReadWorkflow request, LeaderOutput output) {
        RouteTable.Route route = configuration.routes().resolve(request.target());
        if (route.workflow().isEmpty()) {
            output.reply(handle, new QueueAnswer(pendingOf(route.queue().name())));
            return;
        }
        JobId id = route.workflow().get();
        if (pendingSubmissions.isPending(id)) {
            throw new MarjoramnotchException(
                    ErrorCode.OVERLOADED, "The workflow is being stored; try again later.");
        }
        WorkflowEntry entry = requireWorkflow(id);
        output.reply(handle, new WorkflowAnswer(entry.state(), reasonOf(entry)));
    }

    private Optional<String> reasonOf(WorkflowEntry entry) {
        return entry.state().isFinal() ? entry.failure() : feasibilityCheck.reasonOf(entry.id());
    }

    void cancel(RequestHandle handle, CancelWorkflowRequest request, LeaderOutput output) {
        JobId id = requireWorkflowName(configuration.routes().resolve(request.target()));
        boolean over = !pendingSubmissions.isPending(id) && requireWorkflow(id).state().isFinal();
        if (over) {
            output.reply(handle, new Done());
        } else if (pendingCancellations.add(id, handle)) {
            output.propose(new CancelWorkflow(id));
        }
    }

    void onApplied(WorkflowCommand command, CommandResult result, LeaderOutput output) {
        if (command instanceof SubmitWorkflow submit
                && result instanceof CommandResult.Rejected rejected) {
            JobId id = submit.workflow().id();
            admission.onRefused(id);
            room.onSettled(id);
            configuration.log().logRefusal(submit.workflow(), rejected.refusal().code(), output);
            pendingSubmissions.answer(id, new Refused(rejected.refusal()), output);
        } else if (command instanceof SubmitWorkflow submit) {
            Workflow workflow = submit.workflow();
            admission.onSettled(workflow.id());
            room.onSettled(workflow.id());
            output.logDecision(
                    DecisionLogEntry.of(
                            "workflow_accepted",
                            "workflow",
                            workflow.id(),
                            "queue",
                            workflow.queue(),
                            "team",
                            workflow.team().map(TeamName::value).orElse("none"),
                            "steps",
                            workflow.steps().size()));
            pendingSubmissions.answer(workflow.id(), new Done(), output);
        } else if (command instanceof CancelWorkflow cancel) {
            output.logDecision(
                    DecisionLogEntry.of("workflow_cancelled", "workflow", cancel.workflow()));
            pendingCancellations.answer(cancel.workflow(), new Done(), output);
        } else if (command instanceof FailWorkflow fail) {
            output.logDecision(
                    DecisionLogEntry.of(
                            "workflow_given_up",
                            "workflow",
                            fail.workflow(),
                            "reason",
                            fail.reason()));
        }
    }

    private int pendingOf(QueueName queue) {
        return (int)
                ledger.active().stream()
                        .filter(entry -> entry.queue().name().equals(queue))
                        .filter(entry -> entry.state() == WorkflowState.QUEUED)
                        .count();
    }

    private WorkflowEntry requireWorkflow(JobId id) {
        return ledger.workflow(id)
                .orElseThrow(
                        () ->
                                new MarjoramnotchException(
                                        ErrorCode.UNKNOWN_JOB,
                                        "No workflow has this name; submit it first."));
    }

    private static JobId requireWorkflowName(RouteTable.Route route) {
        return route.workflow()
                .orElseThrow(
                        () ->
                                new MarjoramnotchException(
                                        ErrorCode.INVALID_REQUEST,
                                        "The path does not name a workflow; add its name."));
    }
}
