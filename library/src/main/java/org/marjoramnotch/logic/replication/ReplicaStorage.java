package org.marjoramnotch.logic.replication;

import java.util.List;

/** Stores a replica's state durably, so that it survives restarts. */
public interface ReplicaStorage {
    /**
     * Reads the stored state.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with code {@code
     *     STORAGE_DAMAGED} if stored data cannot be trusted
     */
    RecoveredState recover();

    /**
     * Stores the writes in order; they are synced when this method returns.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException with code {@code
     *     STORAGE_FAILED}; it is then unknown what was stored, and the replica must restart from
     *     the stored state
     */
    void persist(List<StorageWrite> writes);
}
