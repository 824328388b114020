package org.marjoramnotch.model.command;

import org.marjoramnotch.model.fleet.FleetConfiguration;

/**
 * Replaces the configuration, unless the current one has the same or a higher version.
 *
 * @param configuration the new configuration
 * @param proposedEpochMilliseconds when the leader proposed it, in Unix time; 0 in commands of
 *     earlier releases
 */
public record ReplaceConfiguration(FleetConfiguration configuration, long proposedEpochMilliseconds)
        implements WorkflowCommand {}
