package org.marjoramnotch.daemon.settings;

import java.util.List;
import org.marjoramnotch.model.identifier.VmId;

/**
 * How the replicas of a cell find one another if the settings do not list them. Every VM is
 * identified by its IP address, and all VMs use the same link port.
 *
 * @param seeds addresses of some replica VMs, each an IP address with any port
 * @param foundsGroup whether the seeds found the group together; true only at their first start
 * @param tolerableLosses the number of replicas that may be lost at once
 */
public record FormationSettings(List<String> seeds, boolean foundsGroup, int tolerableLosses) {
    /** Copies the list, so that the settings are immutable. */
    public FormationSettings {
        seeds = List.copyOf(seeds);
    }

    /** Returns the link addresses of the replicas that the seeds name. */
    public List<ReplicaAddress> replicas(int linkPort) {
        return seeds.stream()
                .map(seed -> seed.replaceFirst(":\\d+$", ""))
                .distinct()
                .sorted()
                .map(host -> new ReplicaAddress(new VmId(host), host, linkPort))
                .toList();
    }
}
