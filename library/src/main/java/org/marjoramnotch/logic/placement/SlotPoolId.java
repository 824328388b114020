package org.marjoramnotch.logic.placement;

import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.identifier.ServiceName;

/**
 * Identifies the pool of all slots or all feed connections of a service.
 *
 * @param service the service
 * @param kind slots or feed connections
 */
public record SlotPoolId(ServiceName service, SlotKind kind) {}
