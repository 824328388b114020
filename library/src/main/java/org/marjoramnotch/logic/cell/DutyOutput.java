package org.marjoramnotch.logic.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.LogPosition;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.logic.replication.ReplicatedLog;
import org.marjoramnotch.logic.replication.ReplicationStatus;
import org.marjoramnotch.logic.workflow.InheritedRuns;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.WorkflowCommand;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.time.Clock;

/**
 * What the leader's duties decide. Proposals go to the log at once. Replies, to requests that are
 * still unanswered, and calls are held, since they may leave only while the lease is held. Replies
 * from the state alone also wait until a quorum has confirmed that this replica leads.
 */
final class DutyOutput implements LeaderOutput {
    private final ReplicatedLog log;
    private final PayloadCodec codec;
    private final PendingProposals proposals;
    private final List<DecisionLogEntry> decisionLog;
    private final Clock clock;
    private final UnansweredRequests unanswered = new UnansweredRequests();
    private final UnconfirmedReplies unconfirmed = new UnconfirmedReplies();
    private List<OutgoingReply> heldReplies = new ArrayList<>();
    private List<WorkerCall> heldCalls = new ArrayList<>();

    DutyOutput(
            ReplicatedLog log,
            PayloadCodec codec,
            PendingProposals proposals,
            List<DecisionLogEntry> decisionLog,
            Clock clock) {
        this.log = log;
        this.codec = codec;
        this.proposals = proposals;
        this.decisionLog = decisionLog;
        this.clock = clock;
    }

    /** Expects a reply to a request. */
    void expectReply(RequestHandle handle, CellRequest request) {
        unanswered.add(handle, ConfirmationRule.isAnsweredFromState(request));
    }

    @Override
    public void propose(Command command) {
        long now = clock.nowMilliseconds();
        OptionalLong index = log.propose(now, codec.encode(command));
        proposals.add(index, log.status(now).term(), command);
    }

    @Override
    public void reply(RequestHandle handle, CellReply reply) {
        unanswered
                .remove(handle)
                .ifPresent(
                        answeredFromState -> {
                            OutgoingReply outgoing = new OutgoingReply(handle, reply);
                            if (answeredFromState || ConfirmationRule.isRefusedByState(reply)) {
                                holdUntilConfirmed(outgoing);
                            } else {
                                heldReplies.add(outgoing);
                            }
                        });
    }

    private void holdUntilConfirmed(OutgoingReply outgoing) {
        unconfirmed.add(log.requestConfirmation(clock.nowMilliseconds()), outgoing);
    }

    @Override
    public void call(WorkerCall call) {
        heldCalls.add(call);
    }

    @Override
    public LogPosition position() {
        ReplicationStatus status = log.status(clock.nowMilliseconds());
        return new LogPosition(status.term(), status.commitIndex());
    }

    @Override
    public void logDecision(DecisionLogEntry logEntry) {
        decisionLog.add(logEntry);
    }

    /** Logs that the duties begin, and on which position. */
    void logDutiesStarted(long fencingToken) {
        logDecision(
                DecisionLogEntry.of("leader_duties_started", "fencing_token", fencingToken)
                        .at(position()));
    }

    /**
     * Logs what a command did to runs if this replica leads and its duties have not begun, so that
     * no leader tells of it.
     */
    void logInherited(Ledger ledger, Command command, CommandResult result) {
        if (command instanceof WorkflowCommand && log.isLeading(clock.nowMilliseconds())) {
            InheritedRuns.describe(ledger.workflow(), command, result)
                    .forEach(logEntry -> logDecision(logEntry.at(position())));
        }
    }

    /** Holds decisions that were taken but not sent, before all later ones. */
    void holdBack(List<OutgoingReply> replies, List<WorkerCall> calls) {
        heldReplies.addAll(0, replies);
        heldCalls.addAll(0, calls);
    }

    /** Returns and removes the held replies. */
    List<OutgoingReply> takeHeldReplies() {
        List<OutgoingReply> taken = heldReplies;
        heldReplies = new ArrayList<>();
        return taken;
    }

    /** Moves the held decisions to the effects that are sent next. */
    void moveHeldTo(CellEffectBuffer buffer) {
        buffer.replies.addAll(takeHeldReplies());
        buffer.replies.addAll(unconfirmed.takeConfirmed(log));
        buffer.calls.addAll(heldCalls);
        heldCalls = new ArrayList<>();
    }

    /** Discards the held decisions and returns one reply to all requests that have none. */
    List<OutgoingReply> replyToAll(CellReply reply) {
        heldCalls.clear();
        List<OutgoingReply> withheld = unconfirmed.takeAll();
        if (!withheld.isEmpty()) {
            logDecision(
                    DecisionLogEntry.of("answers_withheld", "answers", withheld.size())
                            .at(position()));
        }
        Stream<RequestHandle> unsent =
                Stream.concat(takeHeldReplies().stream(), withheld.stream())
                        .map(OutgoingReply::handle);
        return Stream.concat(unsent, unanswered.removeAll().stream())
                .map(handle -> new OutgoingReply(handle, reply))
                .toList();
    }
}
