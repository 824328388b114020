package org.marjoramnotch.daemon.duty;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.daemon.log.LogRateLimiter;
import org.marjoramnotch.logic.cell.CellCore;
import org.marjoramnotch.logic.cell.CellEffects;
import org.marjoramnotch.logic.cell.HeldConfigurationDetector.Cause;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.order.WorkerCall;
import org.marjoramnotch.model.replication.ReplicationEnvelope;
import org.marjoramnotch.model.time.Clock;

/**
 * Runs the core of a replica. The writes of a batch of inputs are synced together, and no effect of
 * the batch is sent before that. While the disk refuses writes, there is no core: the replica
 * neither votes nor acknowledges entries. Once the disk accepts writes again, a new core starts
 * from the stored state.
 */
public final class CellDuty implements DutyHandler<CellInput> {
    /**
     * Interval of the core's timers. They allow at most 50 ms; the difference leaves room for late
     * wake-ups.
     */
    public static final long TICK_MILLISECONDS = 45;

    /** Batches that take longer endanger the leader lease, which lasts several times as long. */
    private static final long SLOW_BATCH_MILLISECONDS = 150;

    private static final long SLOW_BATCH_LOG_INTERVAL_MILLISECONDS = 250;

    private static final Logger LOGGER = Logger.getLogger(CellDuty.class);

    private final ReplicaId self;
    private final CellStorage storage;
    private final CellOutput output;
    private final SubstituteReplies substituteReplies;
    private final Consumer<WorkerCall> orders;
    private final Consumer<DecisionLogEntry> decisionListener;
    private final ReplicaObserver observer;
    private final Clock clock;
    private final SuspensionDetector suspensions;
    private final LogRateLimiter slowBatchLogs;
    private CellCore core;
    private long loggedAppliedIndex;
    private @Nullable DiskOutage outage;
    private @Nullable Set<VmId> contacts;
    private boolean stopping;

    /**
     * Creates the duty.
     *
     * @param core the core, started from the stored state
     * @param storage stores the writes of the core
     * @param orders sends calls to workers
     * @param decisionListener receives the decisions to be logged
     * @param observer observes what the core has applied
     * @param clock measures how long a sync takes
     * @param suspensions detects that the clock stood still
     */
    public CellDuty(
            ReplicaId self,
            CellCore core,
            CellStorage storage,
            CellOutput output,
            Consumer<WorkerCall> orders,
            Consumer<DecisionLogEntry> decisionListener,
            ReplicaObserver observer,
            Clock clock,
            SuspensionDetector suspensions) {
        this.self = self;
        this.core = core;
        this.storage = storage;
        this.output = output;
        this.substituteReplies = new SubstituteReplies(output);
        this.orders = orders;
        this.decisionListener = decisionListener;
        this.observer = observer;
        this.clock = clock;
        this.suspensions = suspensions;
        this.slowBatchLogs = new LogRateLimiter(clock, SLOW_BATCH_LOG_INTERVAL_MILLISECONDS);
        observer.onStart(clock.nowMilliseconds(), core, Cause.START);
    }

    @Override
    public void receive(long nowMilliseconds, CellInput input) {
        distrustLeaseAfterSuspension(nowMilliseconds);
        rememberForRestart(input);
        if (outage != null) {
            substituteReplies.refuseInput(input, read -> answer(nowMilliseconds, read));
        } else {
            handle(nowMilliseconds, input);
        }
    }

    /** Lets the leader prove itself again, since others may have elected another one. */
    private void distrustLeaseAfterSuspension(long nowMilliseconds) {
        suspensions
                .detect()
                .ifPresent(
                        milliseconds -> {
                            LogEvent.of("suspension_detected")
                                    .with("milliseconds", milliseconds)
                                    .warn(LOGGER);
                            if (outage == null) {
                                core.distrustLease(nowMilliseconds);
                            }
                        });
    }

    /** Keeps the inputs in memory that a restarted core must receive again. */
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
        core.endBatch(clock.nowMilliseconds());
        CellEffects effects = core.takeEffects(clock.nowMilliseconds());
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
        logIfSlow(nowMilliseconds, before, after);
        if (after - before <= TICK_MILLISECONDS || core.mayDecide(after)) {
            effects.replies().forEach(output::reply);
            effects.calls().forEach(orders);
        } else if (!core.holdBack(effects)) {
            // Another replica may have become leader and decided differently during the slow sync.
            effects.replies().forEach(substituteReplies::sendAsUnknown);
        }
        effects.decisionLog().forEach(decisionListener);
        observer.onBatchEnd(after, core);
    }

    @Override
    public boolean hasPendingWork() {
        return outage == null && core.hasUnappliedEntries();
    }

    /** Logs a batch during which no message of the group was handled for long. */
    private void logIfSlow(long begun, long handled, long stored) {
        long applied = core.appliedState().index() - loggedAppliedIndex;
        loggedAppliedIndex = core.appliedState().index();
        if (stored - begun >= SLOW_BATCH_MILLISECONDS) {
            slowBatchLogs
                    .tryAcquire()
                    .ifPresent(
                            suppressed ->
                                    LogEvent.of("slow_batch")
                                            .with("handled_ms", handled - begun)
                                            .with("stored_ms", stored - handled)
                                            .with("applied", applied)
                                            .with("suppressed", suppressed)
                                            .warn(LOGGER));
        }
    }

    /** Hands leadership over and answers all callers; no other effect of the core is sent. */
    private void abandonCore(CellEffects unstored, MarjoramnotchException refusal) {
        long now = clock.nowMilliseconds();
        outage = new DiskOutage(storage, now, refusal);
        CellEffects last = core.resign(now);
        last.messages().forEach(output::send);
        unstored.replies().forEach(substituteReplies::sendAsUnknown);
        last.replies().forEach(output::reply);
        last.decisionLog().forEach(decisionListener);
    }

    private void restartCore(long nowMilliseconds, CellCore newCore) {
        core = newCore;
        loggedAppliedIndex = newCore.appliedState().index();
        outage = null;
        observer.onStart(nowMilliseconds, newCore, Cause.DISK_OUTAGE);
        if (contacts != null) {
            core.setJoinContacts(contacts);
        }
        if (stopping) {
            core.prepareStop(nowMilliseconds);
        }
    }

    @Override
    public void tick(long nowMilliseconds) {
        distrustLeaseAfterSuspension(nowMilliseconds);
        if (outage != null) {
            outage.tryReopen(nowMilliseconds)
                    .ifPresent(newCore -> restartCore(nowMilliseconds, newCore));
        }
        if (outage == null) {
            core.tick(nowMilliseconds);
            observer.onTick(nowMilliseconds, core);
        }
        output.tick(nowMilliseconds);
    }

    /** Handles a message unless it is addressed to a former identity of this VM. */
    private void receiveMessage(long nowMilliseconds, ReplicationEnvelope envelope) {
        if (envelope.isAddressedTo(self)) {
            core.receive(nowMilliseconds, envelope.from(), envelope.message());
        }
    }

    /** Runs a command of the operator; if it is refused, the duty continues. */
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
