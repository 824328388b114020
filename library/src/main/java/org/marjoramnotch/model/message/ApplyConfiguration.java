package org.marjoramnotch.model.message;

import org.marjoramnotch.model.fleet.FleetConfiguration;

/**
 * Puts a configuration in force unless the same or a higher version is already in force.
 *
 * @param configuration the configuration
 */
public record ApplyConfiguration(FleetConfiguration configuration) implements WorkflowRequest {}
