package org.marjoramnotch.model.job;

import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.RackName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;

/**
 * A worker as it announces itself.
 *
 * @param worker the name of the worker
 * @param capacity the resources that the worker has for tasks
 * @param zone the availability zone of the worker
 * @param rack the rack of the worker
 */
public record WorkerDescription(
        WorkerId worker, Resources capacity, AvailabilityZone zone, RackName rack) {}
