package org.marjoramnotch.daemon.settings;

import java.util.List;
import org.marjoramnotch.model.identifier.VmId;

/**
 * How the replicas of a cell find one another when no list of them is kept. Every VM is named by
 * its IP number and all use one link port.
 *
 * @param seeds addresses of some replica VMs, as IP number and any port
 * @param foundsGroup whether the seeds found the group together; only at the first start of all
 * @param tolerableLosses how many replicas may be lost at once
 */
public record FormationSettings(List<String> seeds, boolean foundsGroup, int tolerableLosses) {
    /** Copies the list, so that the settings stay as they are. */
    public FormationSettings {
        seeds = List.copyOf(seeds);
    }

    /** Returns the replicas that the seeds name. */
    public List<ReplicaAddress> replicas(int linkPort) {
        return seeds.stream()
                .map(seed -> seed.replaceFirst(":\\d+$", ""))
                .distinct()
                .sorted()
                .map(host -> new ReplicaAddress(new VmId(host), host, linkPort))
                .toList();
    }
}
