package org.marjoramnotch.daemon.duty;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.marjoramnotch.logic.cell.CellCore;
import org.marjoramnotch.logic.cell.CellEffects;
import org.marjoramnotch.logic.leader.DecisionNote;
import org.marjoramnotch.logic.replication.StorageWrite;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.replication.ReplicationEnvelope;

/**
 * Runs the core of a replica. The writes of a whole batch of inputs are synced at once, and nothing
 * leaves before.
 */
public final class CellDuty implements DutyWork<CellInput> {
    /** Interval of the core's timers, which allow 50 at most; a wake-up may be a little late. */
    public static final long TICK_MILLISECONDS = 45;

    private final ReplicaId self;
    private final CellCore core;
    private final Consumer<List<StorageWrite>> storage;
    private final CellOutput output;
    private final Consumer<WorkerCall> orders;
    private final Consumer<DecisionNote> notes;

    /**
     * Creates the duty.
     *
     * @param storage stores writes and returns once they are synced
     * @param orders carries calls to workers
     * @param notes takes decisions for the log
     */
    public CellDuty(
            ReplicaId self,
            CellCore core,
            Consumer<List<StorageWrite>> storage,
            CellOutput output,
            Consumer<WorkerCall> orders,
            Consumer<DecisionNote> notes) {
        this.self = self;
        this.core = core;
        this.storage = storage;
        this.output = output;
        this.orders = orders;
        this.notes = notes;
    }

    @Override
    public void receive(long nowMilliseconds, CellInput input) {
        if (input instanceof CellInput.Message message) {
            receiveMessage(nowMilliseconds, message.envelope());
        } else if (input instanceof CellInput.Request request) {
            core.request(nowMilliseconds, request.handle(), request.request());
        } else if (input instanceof CellInput.Outcome outcome) {
            core.outcome(nowMilliseconds, outcome.outcome());
        } else if (input instanceof CellInput.UseContacts use) {
            core.useContacts(use.contacts());
        } else if (input instanceof CellInput.Form form) {
            attempt(form.result(), () -> core.form(nowMilliseconds));
        } else if (input instanceof CellInput.RemoveReplica remove) {
            attempt(remove.result(), () -> core.removeReplica(nowMilliseconds, remove.vm()));
        } else if (input instanceof CellInput.PrepareStop stop) {
            attempt(stop.result(), () -> core.prepareStop(nowMilliseconds));
        } else if (input instanceof CellInput.ReadReplication read) {
            read.result().complete(core.status(nowMilliseconds));
        }
    }

    @Override
    public void flush(long nowMilliseconds) {
        CellEffects effects = core.takeEffects();
        if (!effects.writes().isEmpty()) {
            storage.accept(effects.writes());
        }
        effects.messages().forEach(output::send);
        effects.replies().forEach(output::reply);
        effects.calls().forEach(orders);
        effects.notes().forEach(notes);
    }

    @Override
    public void tick(long nowMilliseconds) {
        core.tick(nowMilliseconds);
        output.tick(nowMilliseconds);
    }

    /** Takes a message unless it is meant for an identity that this VM had before. */
    private void receiveMessage(long nowMilliseconds, ReplicationEnvelope envelope) {
        if (envelope.reaches(self)) {
            core.receive(nowMilliseconds, envelope.from(), envelope.message());
        }
    }

    /** Answers a command of the operator; its refusal is no failure of the duty. */
    private void attempt(CompletableFuture<Done> result, Runnable command) {
        try {
            command.run();
        } catch (MarjoramnotchException refusal) {
            result.completeExceptionally(refusal);
            return;
        }
        result.complete(new Done());
    }
}
