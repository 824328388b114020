package org.marjoramnotch.daemon.storage;

import java.util.List;
import org.marjoramnotch.logic.replication.StorageWrite;

/**
 * The writes of one sync; the record is whole or not there.
 *
 * @param writes the writes in their order
 */
record StoredBatch(List<StorageWrite> writes) {}
