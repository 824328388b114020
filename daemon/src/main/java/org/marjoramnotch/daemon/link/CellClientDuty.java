package org.marjoramnotch.daemon.link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.marjoramnotch.daemon.duty.DutyHandler;
import org.marjoramnotch.daemon.metrics.CountedEvent;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CancelWorkflowRequest;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.EndAttempt;
import org.marjoramnotch.model.message.NotLeader;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.message.ReadConfiguration;
import org.marjoramnotch.model.message.ReadJob;
import org.marjoramnotch.model.message.ReadRules;
import org.marjoramnotch.model.message.ReadStatus;
import org.marjoramnotch.model.message.ReadWorkflow;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.message.TakeAdviceQuestion;

/** Finds the leader and resends each request until it is answered or its deadline has passed. */
final class CellClientDuty implements DutyHandler<ClientInput> {
    static final long TICK_MILLISECONDS = 100;
    private static final long RETRY_PAUSE_MILLISECONDS = 50;
    private static final long REPLY_TIMEOUT_MILLISECONDS = 2_000;
    private static final long REPORT_INTERVAL_MILLISECONDS = 5_000;

    /**
     * The time without a leader after which new requests of workflow callers are refused. An
     * election with its first commit takes less. When no leader was found for this long, most
     * replicas are down, and callers of workflows should retry later instead of waiting.
     */
    private static final long LEADER_MISSING_TIMEOUT_MILLISECONDS = 1_300;

    private final List<VmId> replicas;
    private final CellTransport transport;
    private final DaemonMetrics metrics;
    private final int maximumPending;
    private final Optional<CellRequest> report;
    private final Map<Long, PendingRequest> byCorrelation = new HashMap<>();
    private final Set<PendingRequest> pending = new LinkedHashSet<>();
    private long nextCorrelation = 1;
    private long nextReportMilliseconds = Long.MIN_VALUE;
    private int presumedLeaderIndex;

    /** The time since which requests have found no leader; empty while a leader replies. */
    private OptionalLong leaderMissingSinceMilliseconds = OptionalLong.empty();

    CellClientDuty(
            List<VmId> replicas,
            CellTransport transport,
            DaemonMetrics metrics,
            int maximumPending,
            Optional<CellRequest> report) {
        this.replicas = new ArrayList<>(replicas);
        this.transport = transport;
        this.metrics = metrics;
        this.maximumPending = maximumPending;
        this.report = report;
    }

    @Override
    public void receive(long nowMilliseconds, ClientInput input) {
        if (input instanceof ClientInput.Submit submit) {
            submit(nowMilliseconds, submit);
        } else if (input instanceof ClientInput.Reply reply) {
            onReply(nowMilliseconds, reply);
        } else if (input instanceof ClientInput.AddReplicas added) {
            added.replicas().stream()
                    .filter(replica -> !replicas.contains(replica))
                    .filter(transport::isReachable)
                    .forEach(replicas::add);
        } else if (input instanceof ClientInput.LinkLost lost) {
            onLinkLost(nowMilliseconds, lost.replica());
        }
    }

    @Override
    public void flush(long nowMilliseconds) {}

    @Override
    public void tick(long nowMilliseconds) {
        report.filter(due -> nowMilliseconds >= nextReportMilliseconds)
                .ifPresent(due -> sendReport(nowMilliseconds, due));
        for (PendingRequest request : new ArrayList<>(pending)) {
            if (nowMilliseconds >= request.deadlineMilliseconds) {
                finish(request, noLeaderReply(request));
            } else if (nowMilliseconds >= request.nextSendMilliseconds) {
                if (request.target != null) {
                    recordLeaderMissing(nowMilliseconds);
                    skipPresumedLeader(request.target);
                }
                send(nowMilliseconds, request);
            }
        }
    }

    private void sendReport(long nowMilliseconds, CellRequest due) {
        nextReportMilliseconds = nowMilliseconds + REPORT_INTERVAL_MILLISECONDS;
        submit(
                nowMilliseconds,
                new ClientInput.Submit(due, nextReportMilliseconds, new CompletableFuture<>()));
    }

    private void submit(long nowMilliseconds, ClientInput.Submit submit) {
        PendingRequest request =
                new PendingRequest(
                        submit.request(), submit.deadlineMilliseconds(), submit.result());
        // The requests that already wait continue to look for the leader.
        if (isWorkflowCallerRequest(submit.request())
                && isLeaderMissing(nowMilliseconds)
                && !pending.isEmpty()) {
            submit.result().complete(noLeaderReply(request));
            return;
        }
        if (pending.size() >= maximumPending) {
            submit.result().complete(CellClient.overloaded());
            return;
        }
        pending.add(request);
        send(nowMilliseconds, request);
    }

    /** Sends a request to the presumed leader, or to the next replica whose link accepts it. */
    private void send(long nowMilliseconds, PendingRequest request) {
        long correlation = nextCorrelation++;
        for (int checked = 0; checked < replicas.size(); checked++) {
            VmId target = replicas.get(presumedLeaderIndex);
            if (transport.send(target, correlation, request.request)) {
                request.target = target;
                request.correlations.add(correlation);
                request.sendCount++;
                byCorrelation.put(correlation, request);
                request.nextSendMilliseconds =
                        nowMilliseconds + request.holdMilliseconds() + REPLY_TIMEOUT_MILLISECONDS;
                return;
            }
            skipPresumedLeader(target);
        }
        recordLeaderMissing(nowMilliseconds);
        request.target = null;
        request.nextSendMilliseconds = nowMilliseconds + RETRY_PAUSE_MILLISECONDS;
    }

    private void recordLeaderMissing(long nowMilliseconds) {
        if (leaderMissingSinceMilliseconds.isEmpty()) {
            leaderMissingSinceMilliseconds = OptionalLong.of(nowMilliseconds);
        }
    }

    private boolean isLeaderMissing(long nowMilliseconds) {
        return leaderMissingSinceMilliseconds.isPresent()
                && nowMilliseconds - leaderMissingSinceMilliseconds.getAsLong()
                        >= LEADER_MISSING_TIMEOUT_MILLISECONDS;
    }

    private static boolean isWorkflowCallerRequest(CellRequest request) {
        return request instanceof SubmitWorkflowRequest
                || request instanceof ReadWorkflow
                || request instanceof CancelWorkflowRequest;
    }

    private void onReply(long nowMilliseconds, ClientInput.Reply reply) {
        PendingRequest request = byCorrelation.get(reply.correlation());
        if (request == null) {
            metrics.count(CountedEvent.ANSWER_DISCARDED);
            return;
        }
        if (reply.reply() instanceof NotLeader notLeader) {
            recordLeaderMissing(nowMilliseconds);
            if (!notLeader.mayHaveEffect()) {
                request.correlations.remove(reply.correlation());
                byCorrelation.remove(reply.correlation());
            }
            followHint(nowMilliseconds, request, reply.from(), notLeader);
            return;
        }
        leaderMissingSinceMilliseconds = OptionalLong.empty();
        if (wasRefusedUnprocessed(reply.reply()) && request.correlations.size() > 1) {
            request.target = null;
            request.nextSendMilliseconds = nowMilliseconds + RETRY_PAUSE_MILLISECONDS;
            return;
        }
        finish(
                request,
                isOutcomeUncertain(request, reply.reply())
                        ? noLeaderReply(request)
                        : reply.reply());
    }

    /**
     * Returns whether a refusal leaves it open whether a workflow is accepted: an earlier send of
     * the request may still reach a leader that accepts it.
     */
    private static boolean isOutcomeUncertain(PendingRequest request, CellReply reply) {
        return request.request instanceof SubmitWorkflowRequest
                && request.correlations.size() > 1
                && reply instanceof Refused refused
                && refused.refusal().outcome() == ExecutionOutcome.NOT_RUN;
    }

    /**
     * Returns whether a replica was too busy to process the request; earlier sends of it may have
     * been processed.
     */
    private static boolean wasRefusedUnprocessed(CellReply reply) {
        return reply instanceof Refused refused
                && refused.refusal().code() == ErrorCode.OVERLOADED
                && refused.refusal().outcome() == ExecutionOutcome.NOT_RUN;
    }

    private void followHint(
            long nowMilliseconds, PendingRequest request, VmId from, NotLeader notLeader) {
        if (!from.equals(request.target)) {
            return;
        }
        notLeader
                .leader()
                .filter(leader -> !replicas.contains(leader) && transport.isReachable(leader))
                .ifPresent(replicas::add);
        int hintedIndex = notLeader.leader().map(replicas::indexOf).orElse(-1);
        request.target = null;
        if (hintedIndex >= 0 && !replicas.get(hintedIndex).equals(from)) {
            presumedLeaderIndex = hintedIndex;
            boolean firstHint = request.sendCount <= 1;
            if (firstHint) {
                send(nowMilliseconds, request);
                return;
            }
        } else {
            skipPresumedLeader(from);
        }
        request.nextSendMilliseconds = nowMilliseconds + RETRY_PAUSE_MILLISECONDS;
    }

    private void onLinkLost(long nowMilliseconds, VmId replica) {
        skipPresumedLeader(replica);
        for (PendingRequest request : new ArrayList<>(pending)) {
            if (replica.equals(request.target)) {
                send(nowMilliseconds, request);
            }
        }
    }

    private void skipPresumedLeader(VmId replica) {
        if (replicas.get(presumedLeaderIndex).equals(replica)) {
            presumedLeaderIndex = (presumedLeaderIndex + 1) % replicas.size();
        }
    }

    private void finish(PendingRequest request, CellReply reply) {
        pending.remove(request);
        request.correlations.forEach(byCorrelation::remove);
        request.result.complete(reply);
    }

    private static Refused noLeaderReply(PendingRequest request) {
        boolean notRun = request.correlations.isEmpty() || hasNoRequestedEffect(request.request);
        ExecutionOutcome outcome = notRun ? ExecutionOutcome.NOT_RUN : ExecutionOutcome.UNKNOWN;
        return new Refused(
                new Refusal(
                        ErrorCode.NO_LEADER,
                        outcome,
                        "No leader answered in time; send the same request again, and ask an"
                                + " operator to check the replicas if this persists."));
    }

    /**
     * Returns whether the request by itself cannot have caused any effect that its caller asked
     * for. For example, a placement request only reserves a slot for work that is sent later.
     */
    private static boolean hasNoRequestedEffect(CellRequest request) {
        return request instanceof PlaceRequest
                || request instanceof EndAttempt
                || request instanceof ReadJob
                || request instanceof ReadWorkflow
                || request instanceof ReadConfiguration
                || request instanceof TakeAdviceQuestion
                || request instanceof ReadRules
                || request instanceof ReadStatus;
    }
}
