package org.marjoramnotch.model.fleet;

import java.util.List;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;

/**
 * A worker that accepts orders.
 *
 * @param incarnation the incarnation of the worker
 * @param pool its pool
 * @param address IP address and port at which it accepts orders
 * @param availabilityZone its availability zone
 * @param capacity the resources that it has
 * @param labels its labels, which include its kind and rack
 * @param draining whether it is about to leave and accepts no new runs
 */
public record FleetWorker(
        WorkerIncarnation incarnation,
        ServiceName pool,
        String address,
        AvailabilityZone availabilityZone,
        Resources capacity,
        List<String> labels,
        boolean draining) {
    /** Creates an immutable worker by copying the list. */
    public FleetWorker {
        labels = List.copyOf(labels);
    }

    /** Returns the name of the worker, which is the same for all of its incarnations. */
    public WorkerId id() {
        return incarnation.worker();
    }
}
