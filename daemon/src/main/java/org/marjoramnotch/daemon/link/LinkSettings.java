package org.marjoramnotch.daemon.link;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.daemon.settings.ReplicaAddress;
import org.marjoramnotch.model.identifier.VmId;

/**
 * Settings of the links of a process.
 *
 * @param vm the VM of the process
 * @param incarnation drawn when the process starts
 * @param replicas all replicas of the cell
 * @param deadlineMilliseconds silence after which a link is replaced
 * @param sharedLinkPort the link port of every VM, where VMs are named by their IP numbers
 * @param ringCapacity length of each ring
 * @param maximumPendingRequests most requests that await the leader at once
 */
public record LinkSettings(
        VmId vm,
        String incarnation,
        List<ReplicaAddress> replicas,
        long deadlineMilliseconds,
        Optional<Integer> sharedLinkPort,
        int ringCapacity,
        int maximumPendingRequests) {}
