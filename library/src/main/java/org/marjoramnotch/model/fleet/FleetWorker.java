package org.marjoramnotch.model.fleet;

import java.util.List;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;

/**
 * A worker that takes orders.
 *
 * @param incarnation this life of it
 * @param pool its pool
 * @param address where it takes orders, as IP number and port
 * @param availabilityZone its availability zone
 * @param capacity what it has
 * @param labels its kind and rack
 * @param draining whether it is about to leave and takes no more work
 */
public record FleetWorker(
        WorkerIncarnation incarnation,
        ServiceName pool,
        String address,
        AvailabilityZone availabilityZone,
        Resources capacity,
        List<String> labels,
        boolean draining) {
    /** Copies the list, so that the worker stays as it is. */
    public FleetWorker {
        labels = List.copyOf(labels);
    }

    /** Returns the name that outlives this life. */
    public WorkerId id() {
        return incarnation.worker();
    }
}
