package org.marjoramnotch.model.replication;

import java.util.List;
import org.marjoramnotch.model.identifier.VmId;

/**
 * Asks a seed whether it has ever taken part in a group; sent by the first seed by name while it
 * hears of no group.
 *
 * @param round identifies the round of probes; never used twice
 * @param seeds the VMs of all seeds that the sender knows, sorted
 */
public record FoundingProbe(long round, List<VmId> seeds) implements FoundingMessage {}
