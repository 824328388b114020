package org.marjoramnotch.logic.workflow;

import java.util.OptionalLong;
import org.marjoramnotch.logic.budget.HeldStateAdmission;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.command.SubmitWorkflow;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.Workflow;

/** Refuses workflows that the replicas cannot hold, before they are stored. */
final class SubmissionRoom {
    private final WorkflowSettings settings;
    private final WorkflowLedger ledger;
    private final EndedWorkflowCleaner endedWorkflows;
    private final HeldStateAdmission admission;
    private final HeldLimitHandler limits;

    SubmissionRoom(WorkflowSettings settings, WorkflowLedger ledger, long nowMilliseconds) {
        this.settings = settings;
        this.ledger = ledger;
        this.endedWorkflows = new EndedWorkflowCleaner(ledger, settings.retentionMilliseconds());
        this.admission = new HeldStateAdmission(ledger.held());
        this.limits = new HeldLimitHandler(ledger, nowMilliseconds);
    }

    /** Returns the handler of what replicas report that they can hold. */
    HeldLimitHandler limits() {
        return limits;
    }

    /** Removes workflows that ended long ago, and the limits of former replicas. */
    void tick(long nowMilliseconds, LeaderOutput output) {
        endedWorkflows.tick(nowMilliseconds, output);
        limits.tick(nowMilliseconds, output);
    }

    /**
     * Refuses a workflow that has no room.
     *
     * @throws MarjoramnotchException with {@code OVERLOADED}
     */
    void require(long nowMilliseconds, Workflow workflow, LeaderOutput output) {
        long limit = limitBytes();
        if (limit > 0) {
            admission
                    .findRejection(candidateOf(workflow), limit, ledger.teams().size())
                    .ifPresent(rejection -> refuse(nowMilliseconds, workflow, rejection, output));
        }
    }

    /** Returns the command that stores a workflow, which counts as being stored from now on. */
    SubmitWorkflow reserve(Workflow workflow) {
        admission.onProposed(candidateOf(workflow));
        return new SubmitWorkflow(workflow, limitBytes());
    }

    private static HeldStateAdmission.Candidate candidateOf(Workflow workflow) {
        return new HeldStateAdmission.Candidate(
                workflow.id(),
                workflow.team(),
                isLasting(workflow),
                WorkflowEntry.heldBytes(workflow));
    }

    /** Handles the end of a submission, stored or refused. */
    void onSettled(JobId workflow) {
        admission.onSettled(workflow);
    }

    /** Returns how much the replica that can hold least can hold; 0 if there is no limit. */
    long limitBytes() {
        OptionalLong smallest = ledger.heldLimits().smallest();
        long own = settings.mostHeldBytes();
        if (own == 0 || smallest.isEmpty()) {
            return Math.max(own, smallest.orElse(0));
        }
        return Math.min(own, smallest.getAsLong());
    }

    private static boolean isLasting(Workflow workflow) {
        return workflow.recurrence().isPresent()
                || workflow.steps().stream().anyMatch(StepDefinition::standing);
    }

    private void refuse(
            long nowMilliseconds,
            Workflow workflow,
            HeldStateAdmission.Rejection rejection,
            LeaderOutput output) {
        long pause =
                endedWorkflows.millisecondsUntilRemoved(nowMilliseconds, rejection.missingBytes());
        output.logDecision(
                DecisionLogEntry.of(
                        "workflow_refused",
                        "workflow",
                        workflow.id(),
                        "queue",
                        workflow.queue(),
                        "team",
                        workflow.team().map(TeamName::value).orElse("none"),
                        "waits_for",
                        rejection.cause(),
                        "held_bytes",
                        rejection.heldBytes(),
                        "limit_bytes",
                        rejection.limitBytes(),
                        "needed_bytes",
                        rejection.neededBytes(),
                        "retry_after_ms",
                        pause));
        throw new MarjoramnotchException(
                Refusal.notRun(
                                ErrorCode.OVERLOADED,
                                "The cell holds as many workflows as it can; submit it again after"
                                        + " the pause.")
                        .withRetryAfter(pause));
    }
}
