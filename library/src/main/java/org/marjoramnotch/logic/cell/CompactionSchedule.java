package org.marjoramnotch.logic.cell;

/** Determines when the applied entries of the log are to be replaced with a snapshot. */
final class CompactionSchedule {
    private final CellSettings settings;
    private long snapshotIndex;
    private long bytesSinceSnapshot;

    CompactionSchedule(CellSettings settings) {
        this.settings = settings;
    }

    void onSnapshot(long index) {
        snapshotIndex = index;
        bytesSinceSnapshot = 0;
    }

    void onApplied(int bytes) {
        bytesSinceSnapshot += bytes;
    }

    boolean isDue(long appliedIndex) {
        return appliedIndex - snapshotIndex >= settings.snapshotEveryEntries()
                || bytesSinceSnapshot >= settings.snapshotEveryBytes();
    }
}
