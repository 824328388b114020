package org.marjoramnotch.daemon.settings;

import org.marjoramnotch.model.identifier.VmId;

/**
 * Where the link of a replica is reached.
 *
 * @param vm the VM of the replica
 * @param host its IP number
 * @param port its link port, TCP
 */
public record ReplicaAddress(VmId vm, String host, int port) {}
