package org.marjoramnotch.logic.cell;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.marjoramnotch.logic.leader.LeaderDuty;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.message.AnnounceEndpoint;
import org.marjoramnotch.model.message.AnnounceWorker;
import org.marjoramnotch.model.message.ApplyRules;
import org.marjoramnotch.model.message.CancelJobRequest;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.EndAttempt;
import org.marjoramnotch.model.message.ForgetEndpointRequest;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.message.ReadJob;
import org.marjoramnotch.model.message.ReadRules;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.RenewEntry;
import org.marjoramnotch.model.message.RenewWorker;
import org.marjoramnotch.model.message.SubmitJobRequest;
import org.marjoramnotch.model.message.WorkflowRequest;
import org.marjoramnotch.model.order.CallOutcome;

/** Combines the leader's duties for one term of leadership, and routes each request to its duty. */
final class CompositeLeaderDuty implements LeaderDuty {
    private static final Refusal UNHANDLED =
            Refusal.notRun(
                    ErrorCode.INVALID_REQUEST,
                    "This cell does not handle such requests; send it to one whose settings name"
                            + " workflow.");

    private final LeaderDuty configuration;
    private final LeaderDuty placement;
    private final LeaderDuty job;
    private final Optional<LeaderDuty> workflow;
    private final List<LeaderDuty> all;

    /** Combines duties; only some cells have workflows, and the observer handles no requests. */
    CompositeLeaderDuty(
            LeaderDuty configuration,
            LeaderDuty placement,
            LeaderDuty job,
            Optional<LeaderDuty> workflow,
            Optional<LeaderDuty> observer) {
        this.configuration = configuration;
        this.placement = placement;
        this.job = job;
        this.workflow = workflow;
        this.all =
                Stream.of(
                                Stream.of(configuration, placement, job),
                                workflow.stream(),
                                observer.stream())
                        .flatMap(duties -> duties)
                        .toList();
    }

    @Override
    public void onRequest(
            long nowMilliseconds, RequestHandle handle, CellRequest request, LeaderOutput output) {
        Optional<LeaderDuty> duty = dutyOf(request);
        if (duty.isEmpty()) {
            output.reply(handle, new Refused(UNHANDLED));
            return;
        }
        duty.get().onRequest(nowMilliseconds, handle, request, output);
    }

    @Override
    public void onApplied(
            long nowMilliseconds, Command command, CommandResult result, LeaderOutput output) {
        for (LeaderDuty duty : all) {
            duty.onApplied(nowMilliseconds, command, result, output);
        }
    }

    @Override
    public void onCallOutcome(long nowMilliseconds, CallOutcome outcome, LeaderOutput output) {
        workflow.ifPresent(duty -> duty.onCallOutcome(nowMilliseconds, outcome, output));
    }

    @Override
    public void onBatchEnd(long nowMilliseconds, LeaderOutput output) {
        workflow.ifPresent(duty -> duty.onBatchEnd(nowMilliseconds, output));
    }

    @Override
    public void onTick(long nowMilliseconds, LeaderOutput output) {
        for (LeaderDuty duty : all) {
            duty.onTick(nowMilliseconds, output);
        }
    }

    @Override
    public void onTermEnd() {
        all.forEach(LeaderDuty::onTermEnd);
    }

    private Optional<LeaderDuty> dutyOf(CellRequest request) {
        if (request instanceof WorkflowRequest) {
            return workflow;
        }
        if (request instanceof ApplyRules || request instanceof ReadRules) {
            return Optional.of(configuration);
        }
        if (request instanceof PlaceRequest
                || request instanceof EndAttempt
                || request instanceof RenewEntry
                || request instanceof AnnounceEndpoint
                || request instanceof ForgetEndpointRequest) {
            return Optional.of(placement);
        }
        if (request instanceof AnnounceWorker
                || request instanceof RenewWorker
                || request instanceof SubmitJobRequest
                || request instanceof ReadJob
                || request instanceof CancelJobRequest) {
            return Optional.of(job);
        }
        return Optional.empty();
    }
}
