package org.marjoramnotch.logic.cell;

import static org.marjoramnotch.logic.cell.MicrosecondTimeline.MILLISECOND;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.logic.replication.RecoveredState;
import org.marjoramnotch.logic.replication.SimulatedStorage;
import org.marjoramnotch.logic.replication.StorageWrite;

/** The disk of a host, whose syncs may be slow or stall. */
final class FleetDisk {
    private final MicrosecondTimeline timeline;
    private final UniformRandomProvider random;
    private final SimulatedStorage storage = new SimulatedStorage();
    private List<StorageWrite> syncing = List.of();
    private long slowUntil;
    private long stalledUntil;

    FleetDisk(MicrosecondTimeline timeline, UniformRandomProvider random) {
        this.timeline = timeline;
        this.random = random;
    }

    /** Continues a thread after some time. */
    interface Thread {
        void then(long microseconds, Runnable next);
    }

    void slowDown(long until) {
        slowUntil = until;
    }

    void stall(long until) {
        stalledUntil = until;
    }

    void heal() {
        slowUntil = 0;
        stalledUntil = 0;
    }

    RecoveredState recover() {
        return storage.recover();
    }

    /** Cuts the power; a sync in progress may or may not have reached the disk. */
    void losePower() {
        if (!syncing.isEmpty() && random.nextBoolean()) {
            storage.persist(syncing);
        }
        syncing = List.of();
        stalledUntil = 0;
    }

    /** Stores writes while the thread waits. */
    void sync(List<StorageWrite> writes, Thread thread, Runnable next) {
        syncing = writes;
        boolean slow = timeline.now() < slowUntil;
        long microseconds =
                slow ? random.nextLong(200, 300) * MILLISECOND : random.nextLong(150, 1_500);
        await(microseconds, thread, next);
    }

    private void await(long microseconds, Thread thread, Runnable next) {
        thread.then(
                microseconds,
                () -> {
                    long left = stalledUntil - timeline.now();
                    if (left > 0) {
                        await(left + random.nextInt(2_000), thread, next);
                        return;
                    }
                    storage.persist(syncing);
                    syncing = List.of();
                    next.run();
                });
    }
}
