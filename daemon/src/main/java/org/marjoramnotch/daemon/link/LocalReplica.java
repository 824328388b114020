package org.marjoramnotch.daemon.link;

import org.marjoramnotch.daemon.duty.CellInput;
import org.marjoramnotch.daemon.duty.DutyInputQueue;
import org.marjoramnotch.model.identifier.ReplicaId;

/**
 * The replica of this process.
 *
 * @param self its identity
 * @param input the input of its duty
 */
public record LocalReplica(ReplicaId self, DutyInputQueue<CellInput> input) {}
