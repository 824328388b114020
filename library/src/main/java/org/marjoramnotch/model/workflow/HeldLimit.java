package org.marjoramnotch.model.workflow;

import org.marjoramnotch.model.identifier.VmId;

/**
 * How much state a replica can hold.
 *
 * @param replica the VM of the replica
 * @param bytes the size of all workflows that it can hold, in bytes
 */
public record HeldLimit(VmId replica, long bytes) {}
