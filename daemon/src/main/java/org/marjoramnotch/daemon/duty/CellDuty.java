package org.marjoramnotch.daemon.duty;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.cell.CellCore;
import org.marjoramnotch.logic.cell.CellEffects;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.replication.ReplicationEnvelope;
import org.marjoramnotch.model.time.Clock;

/**
 * Runs the core of a replica. The writes of a whole batch of inputs are synced at once, and nothing
 * leaves before. While the disk refuses writes there is no core: the replica neither votes nor
 * acknowledges, and starts anew from what is stored once the disk takes writes.
 */
public final class CellDuty implements DutyHandler<CellInput> {
    /** Interval of the core's timers, which allow 50 at most; a wake-up may be a little late. */
    public static final long TICK_MILLISECONDS = 45;

    private final ReplicaId self;
    private final CellStorage storage;
    private final CellOutput output;
    private final SubstituteReplies substituteReplies;
    private final Consumer<WorkerCall> orders;
    private final Consumer<DecisionLogEntry> notes;
    private final Clock clock;
    private CellCore core;
    private @Nullable DiskOutage outage;
    private @Nullable Set<VmId> contacts;
    private boolean stopping;

    /**
     * Creates the duty.
     *
     * @param core started from what the disk holds
     * @param disk stores what the core writes
     * @param orders carries calls to workers
     * @param notes takes decisions for the log
     * @param clock tells how long a sync took
     */
    public CellDuty(
            ReplicaId self,
            CellCore core,
            CellStorage disk,
            CellOutput output,
            Consumer<WorkerCall> orders,
            Consumer<DecisionLogEntry> notes,
            Clock clock) {
        this.self = self;
        this.core = core;
        this.storage = disk;
        this.output = output;
        this.substituteReplies = new SubstituteReplies(output);
        this.orders = orders;
        this.notes = notes;
        this.clock = clock;
    }

    @Override
    public void receive(long nowMilliseconds, CellInput input) {
        rememberForRestart(input);
        if (outage != null) {
            substituteReplies.refuseInput(input, read -> answer(nowMilliseconds, read));
        } else {
            handle(nowMilliseconds, input);
        }
    }

    /** Keeps what a core that is started anew must be told again. */
    private void rememberForRestart(CellInput input) {
        if (input instanceof CellInput.UseContacts use) {
            contacts = use.contacts();
        } else if (input instanceof CellInput.PrepareStop) {
            stopping = true;
        }
    }

    private void handle(long nowMilliseconds, CellInput input) {
        if (input instanceof CellInput.Message message) {
            receiveMessage(nowMilliseconds, message.envelope());
        } else if (input instanceof CellInput.Request request) {
            core.request(nowMilliseconds, request.handle(), request.request());
        } else if (input instanceof CellInput.Outcome outcome) {
            core.callOutcome(nowMilliseconds, outcome.outcome());
        } else if (input instanceof CellInput.UseContacts use) {
            core.setJoinContacts(use.contacts());
        } else if (input instanceof CellInput.Form form) {
            runCommand(form.result(), () -> core.formGroup(nowMilliseconds));
        } else if (input instanceof CellInput.RemoveReplica remove) {
            runCommand(remove.result(), () -> core.removeReplica(nowMilliseconds, remove.vm()));
        } else if (input instanceof CellInput.PrepareStop stop) {
            runCommand(stop.result(), () -> core.prepareStop(nowMilliseconds));
        } else if (input instanceof CellInput.ReadReplication read) {
            answer(nowMilliseconds, read);
        }
    }

    private void answer(long nowMilliseconds, CellInput.ReadReplication read) {
        read.result().complete(core.status(nowMilliseconds));
    }

    @Override
    public void flush(long nowMilliseconds) {
        if (outage != null) {
            return;
        }
        CellEffects effects = core.takeEffects();
        long before = clock.nowMilliseconds();
        try {
            storage.persist(effects.writes());
        } catch (MarjoramnotchException failure) {
            if (!DiskOutage.isStorageFailure(failure)) {
                throw failure;
            }
            abandonCore(effects, failure);
            return;
        }
        effects.messages().forEach(output::send);
        long after = clock.nowMilliseconds();
        if (after - before <= TICK_MILLISECONDS || core.mayDecide(after)) {
            effects.replies().forEach(output::reply);
            effects.calls().forEach(orders);
        } else {
            // Another replica may have decided otherwise while the disk hung.
            effects.replies().forEach(substituteReplies::sendAsUnknown);
        }
        effects.notes().forEach(notes);
    }

    /** Hands leadership over and answers all callers; no effect of the core leaves otherwise. */
    private void abandonCore(CellEffects unstored, MarjoramnotchException refusal) {
        long now = clock.nowMilliseconds();
        outage = new DiskOutage(storage, now, refusal);
        CellEffects last = core.abandon(now);
        last.messages().forEach(output::send);
        unstored.replies().forEach(substituteReplies::sendAsUnknown);
        last.replies().forEach(output::reply);
        last.notes().forEach(notes);
    }

    private void restartCore(long nowMilliseconds, CellCore newCore) {
        core = newCore;
        outage = null;
        if (contacts != null) {
            core.setJoinContacts(contacts);
        }
        if (stopping) {
            core.prepareStop(nowMilliseconds);
        }
    }

    @Override
    public void tick(long nowMilliseconds) {
        if (outage != null) {
            outage.tryReopen(nowMilliseconds)
                    .ifPresent(newCore -> restartCore(nowMilliseconds, newCore));
        }
        if (outage == null) {
            core.tick(nowMilliseconds);
        }
        output.tick(nowMilliseconds);
    }

    /** Takes a message unless it is meant for an identity that this VM had before. */
    private void receiveMessage(long nowMilliseconds, ReplicationEnvelope envelope) {
        if (envelope.isAddressedTo(self)) {
            core.receive(nowMilliseconds, envelope.from(), envelope.message());
        }
    }

    /** Answers a command of the operator; its refusal is no failure of the duty. */
    private void runCommand(CompletableFuture<Done> result, Runnable command) {
        try {
            command.run();
        } catch (MarjoramnotchException refusal) {
            result.completeExceptionally(refusal);
            return;
        }
        result.complete(new Done());
    }
}
