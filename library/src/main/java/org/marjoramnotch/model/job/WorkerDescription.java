package org.marjoramnotch.model.job;

import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.RackName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;

/**
 * What a worker announces.
 *
 * @param worker its name
 * @param capacity what it has for tasks
 * @param zone its availability zone
 * @param rack its rack
 */
public record WorkerDescription(
        WorkerId worker, Resources capacity, AvailabilityZone zone, RackName rack) {}
