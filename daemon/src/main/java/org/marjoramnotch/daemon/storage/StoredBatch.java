package org.marjoramnotch.daemon.storage;

import java.util.List;
import org.marjoramnotch.logic.replication.StorageWrite;

/**
 * The writes of one sync, which are stored as one record: completely or not at all.
 *
 * @param writes the writes in order
 */
record StoredBatch(List<StorageWrite> writes) {}
