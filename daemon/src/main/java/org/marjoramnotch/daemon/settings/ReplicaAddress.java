package org.marjoramnotch.daemon.settings;

import org.marjoramnotch.model.identifier.VmId;

/**
 * The link address of a replica.
 *
 * @param vm the VM of the replica
 * @param host its IP address
 * @param port its TCP port for links
 */
public record ReplicaAddress(VmId vm, String host, int port) {}
