package org.marjoramnotch.model.command;

import org.marjoramnotch.model.fleet.FleetConfiguration;

/**
 * Replaces the configuration, unless the current one has the same or a higher version.
 *
 * @param configuration the new configuration
 */
public record ReplaceConfiguration(FleetConfiguration configuration) implements WorkflowCommand {}
