package org.marjoramnotch.model.command;

import org.marjoramnotch.model.fleet.FleetConfiguration;

/**
 * Puts a configuration in force unless one of the same or a higher version is.
 *
 * @param configuration the configuration
 */
public record ReplaceConfiguration(FleetConfiguration configuration) implements WorkflowCommand {}
