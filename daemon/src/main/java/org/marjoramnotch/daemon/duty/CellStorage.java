package org.marjoramnotch.daemon.duty;

import java.util.List;
import org.marjoramnotch.logic.cell.CellCore;
import org.marjoramnotch.logic.replication.StorageWrite;

/** Where a replica's core is stored. */
public interface CellStorage {
    /**
     * Stores writes and returns once they are synced.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with code {@code STORAGE_FAILED}
     *     if the disk refuses; only {@link #reopen} may be called next
     */
    void persist(List<StorageWrite> writes);

    /**
     * Starts the core anew from what is stored, like a process that was restarted.
     *
     * @param refusedSinceMilliseconds when the former core was given up
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with code {@code STORAGE_FAILED}
     *     while the disk refuses
     */
    CellCore reopen(long refusedSinceMilliseconds, long nowMilliseconds);
}
