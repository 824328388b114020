package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.resource.Resources;

/**
 * How full the workers are.
 *
 * @param used what runs hold
 * @param total what all registered workers have
 */
public record ResourceUtilization(Resources used, Resources total) {}
