package org.marjoramnotch.model.message;

import org.marjoramnotch.model.identifier.VmId;

/**
 * Reports how much state a replica can hold.
 *
 * @param replica the VM of the replica
 * @param bytes the size of all workflows that it can hold, in bytes
 */
public record ReportHeldLimit(VmId replica, long bytes) implements WorkflowRequest {}
