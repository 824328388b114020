package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.VmId;

/**
 * Records how much state a replica can hold.
 *
 * @param replica the VM of the replica
 * @param bytes the size of all workflows that it can hold, in bytes; 0 if it is no longer a replica
 */
public record RecordHeldLimit(VmId replica, long bytes) implements WorkflowCommand {}
