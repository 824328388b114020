package org.marjoramnotch.daemon.link;

import java.util.List;
import java.util.Optional;
import org.marjoramnotch.daemon.settings.ReplicaAddress;
import org.marjoramnotch.model.identifier.VmId;

/**
 * Settings of the links of a process.
 *
 * @param vm the VM of the process
 * @param incarnation the incarnation of the process, generated when it starts
 * @param replicas all replicas of the cell
 * @param deadlineMilliseconds silence after which a link is replaced, in milliseconds
 * @param sharedLinkPort the link port of every VM, if VMs are named by their IP addresses
 * @param ringCapacity the capacity of each input ring buffer
 * @param maximumPendingRequests the largest number of requests that wait for the leader at the same
 *     time
 */
public record LinkSettings(
        VmId vm,
        String incarnation,
        List<ReplicaAddress> replicas,
        long deadlineMilliseconds,
        Optional<Integer> sharedLinkPort,
        int ringCapacity,
        int maximumPendingRequests) {}
