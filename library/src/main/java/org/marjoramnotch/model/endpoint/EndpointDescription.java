package org.marjoramnotch.model.endpoint;

import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.ServiceName;

/**
 * What an endpoint announces.
 *
 * @param endpoint its name
 * @param incarnation drawn anew each time that the endpoint starts
 * @param service the service it offers
 * @param host the IP number it is called at
 * @param port the TCP port it is called at
 * @param slots most requests it runs at once
 * @param connections most connections it accepts, slots and feeds together
 * @param zone its availability zone
 * @param vm the VM it runs on
 */
public record EndpointDescription(
        EndpointId endpoint,
        String incarnation,
        ServiceName service,
        String host,
        int port,
        int slots,
        int connections,
        AvailabilityZone zone,
        String vm) {}
