package org.marjoramnotch.logic.cell;

import java.util.OptionalLong;
import java.util.function.ObjLongConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.model.message.ReleaseWorker;

/** Lets workers of a simulated fleet announce their ends, by calls that may arrive late. */
final class FleetDepartures {
    private static final long DRAIN_MILLISECONDS = 1_000;
    private static final long MAXIMUM_DELAY_MILLISECONDS = 4_000;

    private final FleetSimulation cell;
    private final UniformRandomProvider random;
    private final ObjLongConsumer<Runnable> after;
    private final ObjLongConsumer<FleetWorkerNode> crash;

    /**
     * Creates the departures.
     *
     * @param after runs an action after some milliseconds, unless the faults have ended
     * @param crash ends a worker, which starts again under its name after some milliseconds
     */
    FleetDepartures(
            FleetSimulation cell,
            ObjLongConsumer<Runnable> after,
            ObjLongConsumer<FleetWorkerNode> crash) {
        this.cell = cell;
        this.random = cell.random;
        this.after = after;
        this.crash = crash;
    }

    /** Lets a worker drain, announce its end and end; it starts again under its name. */
    void leave(FleetWorkerNode worker, long duration) {
        worker.drain();
        cell.reportNow(worker);
        after.accept(
                () -> {
                    cell.request(new ReleaseWorker(worker.id(), worker.started()));
                    after.accept(() -> crash.accept(worker, 1 + duration / 4), duration / 4);
                },
                duration / 2);
    }

    /**
     * Lets a worker drain, announce its end and end; it starts again under its name. The
     * announcement does not name the life and arrives late, after a first one if it is sent twice.
     */
    void leaveWithLateRelease(FleetWorkerNode worker, boolean twice) {
        ReleaseWorker release = new ReleaseWorker(worker.id(), OptionalLong.empty());
        worker.drain();
        cell.reportNow(worker);
        after.accept(
                () -> {
                    if (twice) {
                        cell.request(release);
                    }
                    after.accept(
                            () -> cell.request(release),
                            500 + random.nextLong(MAXIMUM_DELAY_MILLISECONDS));
                    crash.accept(worker, 1 + random.nextLong(1_000));
                },
                DRAIN_MILLISECONDS + random.nextLong(1_000));
    }
}
