package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.resource.Resources;

/**
 * Utilization of the workers.
 *
 * @param used the resources that runs hold
 * @param total the capacity of all registered workers
 */
public record ResourceUtilization(Resources used, Resources total) {}
