package org.marjoramnotch.logic.cell;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderDuty;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.logic.replication.ReplicatedLog;
import org.marjoramnotch.logic.replication.ReplicationEffects;
import org.marjoramnotch.logic.replication.ReplicationStatus;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.NotLeader;
import org.marjoramnotch.model.message.ReadStatus;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.replication.ReplicationMessage;

/**
 * A replica's whole part in a cell, as a deterministic state machine: it applies the log to the
 * ledger and, while it leads and holds the leader lease, decides. The host calls it from one thread
 * and takes the effects after each batch of calls.
 */
public final class CellCore {
    /** Duties start anew in the same term only when the leader lease was lost and regained. */
    private static final long TOKENS_PER_TERM = 1_024;

    private final CellSettings settings;
    private final ReplicatedLog log;
    private final PayloadCodec codec;
    private final LeaderDutyFactory dutyFactory;
    private final LeaderOutput output = new Output();

    private final CellEffectBuffer buffer = new CellEffectBuffer();
    private final UnansweredRequests unansweredRequests = new UnansweredRequests();
    private final PendingProposals pendingProposals = new PendingProposals();
    private final MembershipChangeDetector membershipChanges = new MembershipChangeDetector();

    private Ledger ledger = new Ledger();
    private @Nullable LeaderDuty duties;
    private boolean stopping;
    private long now;
    private long appliedIndex;
    private long compactedIndex;
    private long dutyStarts;

    /** Creates the core over a log whose recovered effects have not been taken yet. */
    public CellCore(
            CellSettings settings, ReplicatedLog log, PayloadCodec codec, LeaderDutyFactory parts) {
        this.settings = settings;
        this.log = log;
        this.codec = codec;
        this.dutyFactory = parts;
    }

    /** Advances time; called at least every 50 milliseconds. */
    public void tick(long nowMilliseconds) {
        advance(nowMilliseconds);
        membershipChanges.detectChange(log.status(now)).ifPresent(buffer.notes::add);
        if (duties != null) {
            duties.onTick(now, output);
            processLogEffects();
        }
    }

    /** Takes a message of another replica. */
    public void receive(long nowMilliseconds, ReplicaId from, ReplicationMessage message) {
        now = nowMilliseconds;
        log.receive(now, from, message);
        processLogEffects();
    }

    /** Takes a request; its reply appears in the effects of this or a later call. */
    public void request(long nowMilliseconds, RequestHandle handle, CellRequest request) {
        advance(nowMilliseconds);
        if (duties == null || stopping) {
            buffer.replies.add(new OutgoingReply(handle, NotLeader.notProcessed(otherLeader())));
            return;
        }
        if (request instanceof ReadStatus) {
            buffer.replies.add(new OutgoingReply(handle, StatusReport.of(log.status(now), ledger)));
            return;
        }
        unansweredRequests.add(handle);
        duties.onRequest(now, handle, request, output);
        processLogEffects();
    }

    /** Takes what came of a call to a worker; of no effect once the duties that called are over. */
    public void callOutcome(long nowMilliseconds, CallOutcome outcome) {
        advance(nowMilliseconds);
        if (duties != null) {
            duties.onCallOutcome(now, outcome, output);
            processLogEffects();
        }
    }

    /** Forms a group of this replica; see {@link ReplicatedLog#formGroup}. */
    public void formGroup(long nowMilliseconds) {
        now = nowMilliseconds;
        log.formGroup(now);
        processLogEffects();
    }

    /** Replaces the VMs that this replica asks to let it join. */
    public void setJoinContacts(Set<VmId> contacts) {
        log.setJoinContacts(contacts);
    }

    /** Removes a VM from the group; see {@link ReplicatedLog#removeVm}. */
    public void removeReplica(long nowMilliseconds, VmId vm) {
        now = nowMilliseconds;
        log.removeVm(now, vm);
        processLogEffects();
    }

    /** Takes no more requests and hands leadership to another replica. */
    public void prepareStop(long nowMilliseconds) {
        now = nowMilliseconds;
        stopping = true;
        log.transferLeadership(now);
        processLogEffects();
    }

    /**
     * Tells whether this replica decides, and ends its decisions if it no longer may. A host asks
     * after a long sync: replies and calls of before must not leave then.
     */
    public boolean mayDecide(long nowMilliseconds) {
        advance(nowMilliseconds);
        return duties != null;
    }

    /**
     * Gives up leadership since nothing can be stored; only the status may be asked afterwards.
     *
     * @return messages and replies only; what was not taken before is forgotten
     */
    public CellEffects abandon(long nowMilliseconds) {
        now = nowMilliseconds;
        log.resign(now);
        buffer.take();
        stopDecidingUnlessReady();
        buffer.messages.addAll(log.takeEffects().messages());
        return buffer.take();
    }

    /** Returns the effects since the last call and forgets them. */
    public CellEffects takeEffects() {
        if (duties != null) {
            duties.onBatchEnd(now, output);
        }
        processLogEffects();
        return buffer.take();
    }

    /** Tells what this replica knows of its group. */
    public ReplicationStatus status(long nowMilliseconds) {
        return log.status(nowMilliseconds);
    }

    /** Returns the applied state, to be read only. */
    public Ledger ledger() {
        return ledger;
    }

    /** Lets the log notice an expired lease before anything is decided at the new time. */
    private void advance(long nowMilliseconds) {
        now = nowMilliseconds;
        log.tick(now);
        processLogEffects();
    }

    private void processLogEffects() {
        ReplicationEffects effects = log.takeEffects();
        boolean more = true;
        while (more) {
            stopDecidingUnlessReady();
            collectEffects(effects);
            startDecidingIfReady();
            effects = log.takeEffects();
            more = !effects.isEmpty();
        }
        compactWhenDue();
    }

    private void collectEffects(ReplicationEffects effects) {
        buffer.writes.addAll(effects.writes());
        buffer.messages.addAll(effects.messages());
        effects.restored().ifPresent(this::restore);
        effects.committed().forEach(this::apply);
    }

    private void restore(ReplicationEffects.RestoredState restored) {
        ledger = Ledger.restore(codec.decodeSnapshot(restored.state()));
        appliedIndex = restored.index();
        compactedIndex = restored.index();
    }

    private void apply(ReplicationEffects.CommittedEntry entry) {
        Command command =
                pendingProposals.take(entry).orElseGet(() -> codec.decode(entry.payload()));
        CommandResult result = ledger.apply(command);
        appliedIndex = entry.index();
        if (duties != null) {
            duties.onApplied(now, command, result, output);
        }
    }

    /**
     * Ends the decisions as soon as the lease may have run out or a proposal was refused, before
     * entries of a later leader are applied: what the duties would answer then rests on the lease.
     */
    private void stopDecidingUnlessReady() {
        boolean ready = log.isReady(now) && !pendingProposals.wasRefused();
        if (ready || duties == null) {
            return;
        }
        duties.onTermEnd();
        duties = null;
        buffer.calls.clear();
        buffer.notes.add(
                DecisionLogEntry.of("leader_duties_ended", "term", log.status(now).term()));
        pendingProposals.clear();
        CellReply reply = new NotLeader(otherLeader(), true);
        unansweredRequests
                .removeAll()
                .forEach(handle -> buffer.replies.add(new OutgoingReply(handle, reply)));
    }

    /**
     * Starts the decisions anew once the ledger has all entries of earlier terms, and of this term
     * what duties proposed before the lease was lost and regained: new duties would otherwise count
     * as waiting what an entry on its way is about to start.
     */
    private void startDecidingIfReady() {
        if (duties == null && log.isReady(now) && !isProposalInFlight()) {
            dutyStarts++;
            duties = dutyFactory.createAll(ledger, now, fencingToken());
            buffer.notes.add(
                    DecisionLogEntry.of("leader_duties_started", "fencing_token", fencingToken()));
        }
    }

    /** Returns a token above that of all earlier duties, also of those of the same term. */
    private long fencingToken() {
        return log.status(now).term() * TOKENS_PER_TERM + dutyStarts % TOKENS_PER_TERM;
    }

    private boolean isProposalInFlight() {
        return pendingProposals.isInFlight(log.status(now).term(), appliedIndex);
    }

    private Optional<VmId> otherLeader() {
        ReplicationStatus status = log.status(now);
        return status.leader().filter(leader -> !leader.equals(status.self())).map(ReplicaId::vm);
    }

    private void compactWhenDue() {
        if (appliedIndex - compactedIndex >= settings.snapshotEveryEntries()) {
            log.compact(appliedIndex, codec.encodeSnapshot(ledger.snapshot()));
            compactedIndex = appliedIndex;
        }
    }

    /** Sends proposals to the log and replies to those who still await them. */
    private final class Output implements LeaderOutput {
        @Override
        public void propose(Command command) {
            OptionalLong index = log.propose(now, codec.encode(command));
            pendingProposals.add(index, log.status(now).term(), command);
        }

        @Override
        public void reply(RequestHandle handle, CellReply reply) {
            if (unansweredRequests.remove(handle)) {
                buffer.replies.add(new OutgoingReply(handle, reply));
            }
        }

        @Override
        public void call(WorkerCall call) {
            buffer.calls.add(call);
        }

        @Override
        public void logDecision(DecisionLogEntry note) {
            buffer.notes.add(note);
        }
    }
}
