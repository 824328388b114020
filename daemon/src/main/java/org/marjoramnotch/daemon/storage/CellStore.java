package org.marjoramnotch.daemon.storage;

import java.util.List;
import org.marjoramnotch.daemon.duty.CellStorage;
import org.marjoramnotch.logic.cell.CellCore;
import org.marjoramnotch.logic.replication.RecoveredState;
import org.marjoramnotch.logic.replication.StorageWrite;

/** Stores the state of a replica's core in a data folder. */
public final class CellStore implements CellStorage {
    /** Creates cores from recovered state. */
    @FunctionalInterface
    public interface CoreFactory {
        /**
         * Creates a core.
         *
         * @param processStartMilliseconds a time at which no earlier core of this replica was
         *     running any more
         */
        CellCore create(
                RecoveredState recovered, long processStartMilliseconds, long nowMilliseconds);
    }

    private final FileReplicaStorage storage;
    private final CoreFactory cores;

    /** Creates a store on storage that has been recovered. */
    public CellStore(FileReplicaStorage storage, CoreFactory cores) {
        this.storage = storage;
        this.cores = cores;
    }

    @Override
    public void persist(List<StorageWrite> writes) {
        storage.persist(writes);
    }

    @Override
    public CellCore reopen(long refusedSinceMilliseconds, long nowMilliseconds) {
        return cores.create(storage.reopen(), refusedSinceMilliseconds, nowMilliseconds);
    }
}
