package org.marjoramnotch.logic.cell;

import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderDuty;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.logic.replication.ReplicatedLog;
import org.marjoramnotch.logic.replication.ReplicationEffects;
import org.marjoramnotch.logic.replication.ReplicationStatus;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.NotLeader;
import org.marjoramnotch.model.message.ReadStatus;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.replication.ReplicationMessage;

/**
 * The core of one replica of a cell, as a deterministic state machine: it applies the log to the
 * ledger and, while it leads and holds the leader lease, runs the leader's duties. The host calls
 * it from one thread and takes the effects after each batch of calls.
 */
public final class CellCore {
    private final ReplicatedLog log;
    private final LeaderDutyFactory dutyFactory;
    private final DutyOutput output;
    private final CellEffectBuffer buffer = new CellEffectBuffer();
    private final PendingProposals pendingProposals = new PendingProposals();
    private final LeasePause pause = new LeasePause();
    private final FencingTokens fencingTokens = new FencingTokens();
    private final MembershipChangeDetector membershipChanges = new MembershipChangeDetector();

    private final LogApplier applier;
    private @Nullable LeaderDuty duties;
    private boolean stopping;
    private long now;

    /** Creates a core on a log whose recovered effects have not been taken yet. */
    public CellCore(
            CellSettings settings,
            ReplicatedLog log,
            PayloadCodec codec,
            LeaderDutyFactory factory) {
        this.log = log;
        this.dutyFactory = factory;
        this.output = new DutyOutput(log, codec, pendingProposals, buffer.decisionLog, () -> now);
        this.applier = new LogApplier(codec, new CompactionSchedule(settings), pendingProposals);
    }

    /** Advances time; called at least every 50 milliseconds. */
    public void tick(long nowMilliseconds) {
        advance(nowMilliseconds);
        membershipChanges.detectChange(log.status(now)).ifPresent(buffer.decisionLog::add);
        if (duties != null && !pause.isActive()) {
            duties.onTick(now, output);
            processLogEffects();
        }
    }

    /** Processes a message from another replica. */
    public void receive(long nowMilliseconds, ReplicaId from, ReplicationMessage message) {
        now = nowMilliseconds;
        log.receive(now, from, message);
        processLogEffects();
    }

    /** Processes a request; its reply appears in the effects of this or a later call. */
    public void request(long nowMilliseconds, RequestHandle handle, CellRequest request) {
        advance(nowMilliseconds);
        if (duties == null || pause.isActive() || stopping) {
            buffer.replies.add(new OutgoingReply(handle, NotLeader.notProcessed(otherLeader())));
            return;
        }
        if (request instanceof ReadStatus) {
            buffer.replies.add(
                    new OutgoingReply(handle, StatusReport.of(log.status(now), ledger())));
            return;
        }
        output.expectReply(handle, request);
        duties.onRequest(now, handle, request, output);
        processLogEffects();
    }

    /** Processes the outcome of a worker call; ignored once the duties that made it have ended. */
    public void callOutcome(long nowMilliseconds, CallOutcome outcome) {
        advance(nowMilliseconds);
        if (duties != null) {
            duties.onCallOutcome(now, outcome, output);
            processLogEffects();
        }
    }

    /** Forms a group that consists of this replica; see {@link ReplicatedLog#formGroup}. */
    public void formGroup(long nowMilliseconds) {
        now = nowMilliseconds;
        log.formGroup(now);
        processLogEffects();
    }

    /** Replaces the set of VMs to which this replica sends join requests. */
    public void setJoinContacts(Set<VmId> contacts) {
        log.setJoinContacts(contacts);
    }

    /** Removes a VM from the group; see {@link ReplicatedLog#removeVm}. */
    public void removeReplica(long nowMilliseconds, VmId vm) {
        now = nowMilliseconds;
        log.removeVm(now, vm);
        processLogEffects();
    }

    /** Stops accepting requests and leaves leadership to the other replicas. */
    public void prepareStop(long nowMilliseconds) {
        now = nowMilliseconds;
        stopping = true;
        log.prepareStop(now);
        processLogEffects();
    }

    /**
     * Returns whether this replica may make decisions. The host calls this after a long sync: if
     * the lease lapsed, earlier replies and calls must not be sent.
     */
    public boolean mayDecide(long nowMilliseconds) {
        advance(nowMilliseconds);
        return duties != null && !pause.isActive();
    }

    /**
     * Holds the replies and calls of taken effects back until this replica holds the lease again.
     *
     * @return false if this replica leads no longer, so that they must not be sent at all
     */
    public boolean holdBack(CellEffects taken) {
        if (duties == null) {
            return false;
        }
        output.holdBack(taken.replies(), taken.calls());
        return true;
    }

    /** Ends the leader lease until a quorum confirms it again; see {@link ReplicatedLog}. */
    public void distrustLease(long nowMilliseconds) {
        now = nowMilliseconds;
        log.distrustLease(now);
        processLogEffects();
    }

    /**
     * Gives up leadership because nothing can be stored; afterwards only the status may be read.
     *
     * @return messages and replies only; effects that were not taken before are discarded
     */
    public CellEffects resign(long nowMilliseconds) {
        now = nowMilliseconds;
        log.resign(now);
        buffer.take();
        pauseOrEndDuties();
        buffer.messages.addAll(log.takeEffects().messages());
        return buffer.take();
    }

    /** Ends a batch of calls. This may take long, so that the effects are taken at a later time. */
    public void endBatch(long nowMilliseconds) {
        advance(nowMilliseconds);
        if (duties != null && !pause.isActive()) {
            duties.onBatchEnd(now, output);
        }
    }

    /**
     * Returns and removes the effects that were added since the last call.
     *
     * @param nowMilliseconds the time at which they are sent; the leader lease counts from it
     */
    public CellEffects takeEffects(long nowMilliseconds) {
        advance(nowMilliseconds);
        applier.beginBatch();
        if (!pause.isActive()) {
            output.moveHeldTo(buffer);
        }
        return buffer.take();
    }

    /** Returns what this replica knows about its group. */
    public ReplicationStatus status(long nowMilliseconds) {
        return log.status(nowMilliseconds);
    }

    /** Returns which entries and versions are applied. */
    public AppliedState appliedState() {
        return applier.appliedState();
    }

    /** Returns whether committed entries wait for the next batch to be applied. */
    public boolean hasUnappliedEntries() {
        return applier.hasUnapplied();
    }

    /** Returns the applied state; callers must not change it. */
    public Ledger ledger() {
        return applier.ledger();
    }

    /** Lets the log notice an expired lease before any decision is made at the new time. */
    private void advance(long nowMilliseconds) {
        now = nowMilliseconds;
        log.tick(now);
        processLogEffects();
    }

    private void processLogEffects() {
        ReplicationEffects effects = log.takeEffects();
        boolean more = true;
        while (more) {
            pauseOrEndDuties();
            collectEffects(effects);
            startDutiesIfReady();
            effects = log.takeEffects();
            more = !effects.isEmpty();
        }
        applier.compactIfDue(log);
    }

    private void collectEffects(ReplicationEffects effects) {
        buffer.writes.addAll(effects.writes());
        buffer.messages.addAll(effects.messages());
        applier.add(effects);
        applier.apply(duties != null, this::onApplied);
    }

    private void onApplied(Command command, CommandResult result) {
        if (duties != null) {
            duties.onApplied(now, command, result, output);
        } else {
            output.logInherited(ledger(), command, result);
        }
    }

    /**
     * Ends the duties once this replica leads no longer or a proposal was refused, before entries
     * of a later leader are applied. While only the lease has lapsed or is distrusted, the duties
     * pause: what they learned stays, but nothing that they decide leaves, since another replica
     * may be elected at any moment.
     */
    private void pauseOrEndDuties() {
        if (duties == null) {
            return;
        }
        if (!log.isLeading(now) || pendingProposals.wasRefused() || pause.isTooLong(now)) {
            endDuties(duties);
        } else if (log.isReady(now)) {
            pause.end(now).ifPresent(buffer.decisionLog::add);
        } else if (!pause.isActive()) {
            buffer.decisionLog.add(pause.begin(now, log.status(now).term()));
            // Their requests arrived while the lease was held.
            buffer.replies.addAll(output.takeHeldReplies());
        }
    }

    private void endDuties(LeaderDuty ended) {
        ended.onTermEnd();
        duties = null;
        buffer.decisionLog.add(
                DecisionLogEntry.of("leader_duties_ended", "term", log.status(now).term()));
        pendingProposals.clear();
        pause.end(now);
        buffer.replies.addAll(output.replyToAll(new NotLeader(otherLeader(), true)));
    }

    /**
     * Starts new duties once the entries of earlier terms and of earlier duties are applied:
     * otherwise work would count as waiting that an entry in flight is about to start.
     */
    private void startDutiesIfReady() {
        if (duties == null
                && log.isReady(now)
                && !applier.hasUnapplied()
                && !isProposalInFlight()) {
            long fencingToken = fencingTokens.next(log.status(now).term());
            duties = dutyFactory.createAll(ledger(), now, fencingToken);
            output.logDutiesStarted(fencingToken);
        }
    }

    private boolean isProposalInFlight() {
        return pendingProposals.isInFlight(log.status(now).term(), applier.appliedIndex());
    }

    private Optional<VmId> otherLeader() {
        ReplicationStatus status = log.status(now);
        return status.leader().filter(leader -> !leader.equals(status.self())).map(ReplicaId::vm);
    }
}
