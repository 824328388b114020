package org.marjoramnotch.model.fleet;

import org.marjoramnotch.model.identifier.ServiceName;

/**
 * A pool of workers.
 *
 * @param name the name of the pool
 * @param guarded whether the workers reject runs that don't fit
 * @param standby whether its machines are switched off until they are moved to another pool
 */
public record PoolDefinition(ServiceName name, boolean guarded, boolean standby) {}
