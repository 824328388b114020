package org.marjoramnotch.daemon.storage;

import java.util.Arrays;
import java.util.BitSet;

/**
 * The content of a file that survives a power loss: the bytes that were synced after they were
 * written.
 */
final class DurableFile {
    private final BitSet unsynced = new BitSet();
    private byte[] content = {};

    byte[] content() {
        return content.clone();
    }

    void written(long position, long bytes) {
        unsynced.set((int) position, (int) (position + bytes));
    }

    void discardUnsynced() {
        unsynced.clear();
    }

    void synced(byte[] current) {
        content = Arrays.copyOf(content, current.length);
        unsynced.stream()
                .filter(position -> position < current.length)
                .forEach(position -> content[position] = current[position]);
        unsynced.clear();
    }
}
