package org.marjoramnotch.logic.cell;

/**
 * Settings of a cell's core. The log is replaced with a snapshot once it reaches either limit.
 *
 * @param snapshotEveryEntries the number of applied entries between two snapshots
 * @param snapshotEveryBytes the size of the applied entries between two snapshots, which bounds the
 *     space that few large entries take on disk and in memory
 */
public record CellSettings(int snapshotEveryEntries, long snapshotEveryBytes) {
    private static final long DEFAULT_SNAPSHOT_EVERY_BYTES = 16 * 1024 * 1024;

    /** Creates settings with the default limit of the size. */
    public CellSettings(int snapshotEveryEntries) {
        this(snapshotEveryEntries, DEFAULT_SNAPSHOT_EVERY_BYTES);
    }
}
