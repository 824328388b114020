package org.marjoramnotch.daemon.storage;

import java.util.List;
import org.marjoramnotch.daemon.duty.CellStorage;
import org.marjoramnotch.logic.cell.CellCore;
import org.marjoramnotch.logic.replication.RecoveredState;
import org.marjoramnotch.logic.replication.StorageWrite;

/** Stores a replica's core in a data folder. */
public final class CellStore implements CellStorage {
    /** Creates cores from what is stored. */
    @FunctionalInterface
    public interface CoreFactory {
        /**
         * Creates a core.
         *
         * @param begunMilliseconds a time at which no earlier core of this replica ran any more
         */
        CellCore create(RecoveredState recovered, long begunMilliseconds, long nowMilliseconds);
    }

    private final FileReplicaStorage storage;
    private final CoreFactory cores;

    /** Creates a store over recovered storage. */
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
