package org.marjoramnotch.daemon.duty;

import java.util.List;
import org.marjoramnotch.logic.cell.CellCore;
import org.marjoramnotch.logic.replication.StorageWrite;

/** The storage of a replica's core. */
public interface CellStorage {
    /**
     * Stores writes and returns once they are synced to disk.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with code {@code STORAGE_FAILED}
     *     if the disk refuses them; after that, only {@link #reopen} may be called
     */
    void persist(List<StorageWrite> writes);

    /**
     * Creates a new core from the stored state, as a restarted process does.
     *
     * @param refusedSinceMilliseconds when the previous core was abandoned
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with code {@code STORAGE_FAILED}
     *     while the disk refuses writes
     */
    CellCore reopen(long refusedSinceMilliseconds, long nowMilliseconds);
}
