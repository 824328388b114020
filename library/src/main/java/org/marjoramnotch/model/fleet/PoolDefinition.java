package org.marjoramnotch.model.fleet;

import org.marjoramnotch.model.identifier.ServiceName;

/**
 * A pool of workers.
 *
 * @param name the pool
 * @param guarded whether the workers refuse what does not fit
 * @param standby whether its machines are off until they are moved to another pool
 */
public record PoolDefinition(ServiceName name, boolean guarded, boolean standby) {}
