package org.marjoramnotch.daemon.duty;

import java.util.OptionalLong;
import java.util.function.Consumer;
import org.marjoramnotch.daemon.metrics.ReplicaMetrics;
import org.marjoramnotch.logic.cell.AppliedState;
import org.marjoramnotch.logic.cell.CellCore;
import org.marjoramnotch.logic.cell.HeldConfigurationDetector;
import org.marjoramnotch.logic.cell.HeldConfigurationDetector.Cause;
import org.marjoramnotch.logic.cell.MissingLeaderDetector;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.model.time.Clock;

/** Logs and measures which configuration a replica holds, and whether it knows a leader. */
public final class ReplicaObserver {
    private static final long STATUS_INTERVAL_MILLISECONDS = 1_000;

    private final Consumer<DecisionLogEntry> decisionListener;
    private final ReplicaMetrics metrics;
    private final Clock wallClock;
    private final MissingLeaderDetector missingLeader = new MissingLeaderDetector();
    private HeldConfigurationDetector heldConfiguration =
            new HeldConfigurationDetector(Cause.START);
    private long nextStatusAt;

    /**
     * Creates an observer.
     *
     * @param wallClock the Unix time in milliseconds
     */
    public ReplicaObserver(
            Consumer<DecisionLogEntry> decisionListener, ReplicaMetrics metrics, Clock wallClock) {
        this.decisionListener = decisionListener;
        this.metrics = metrics;
        this.wallClock = wallClock;
    }

    /** Handles the start of a core from the stored state. */
    void onStart(long nowMilliseconds, CellCore core, Cause cause) {
        heldConfiguration = new HeldConfigurationDetector(cause);
        observe(nowMilliseconds, core);
    }

    /** Handles the end of a batch; nothing is decided while committed entries are not applied. */
    void onBatchEnd(long nowMilliseconds, CellCore core) {
        if (!core.hasUnappliedEntries()) {
            observe(nowMilliseconds, core);
        }
    }

    /** Advances time. */
    void onTick(long nowMilliseconds, CellCore core) {
        if (nowMilliseconds >= nextStatusAt) {
            nextStatusAt = nowMilliseconds + STATUS_INTERVAL_MILLISECONDS;
            missingLeader
                    .detect(nowMilliseconds, core.status(nowMilliseconds))
                    .ifPresent(decisionListener);
        }
    }

    private void observe(long nowMilliseconds, CellCore core) {
        AppliedState state = core.appliedState();
        metrics.setAppliedState(state);
        heldConfiguration
                .detectChange(state)
                .ifPresent(cause -> report(cause, state, core.status(nowMilliseconds).term()));
    }

    private void report(Cause cause, AppliedState state, long term) {
        long now = wallClock.nowMilliseconds();
        OptionalLong age = state.configurationAgeMilliseconds(now);
        if (cause == Cause.LOG && age.isPresent()) {
            metrics.recordConfigurationAge(age.getAsLong());
        }
        decisionListener.accept(HeldConfigurationDetector.entryOf(cause, state, term, now));
    }
}
