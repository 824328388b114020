package org.marjoramnotch.model.endpoint;

import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.ServiceName;

/**
 * The description that an endpoint announces.
 *
 * @param endpoint name of the endpoint
 * @param incarnation identifier that the endpoint generates each time it starts
 * @param service the service that it offers
 * @param host IP address at which it accepts requests
 * @param port TCP port at which it accepts requests
 * @param slots maximum number of requests that it runs concurrently
 * @param connections maximum number of connections that it accepts for requests and feeds together
 * @param zone availability zone of the endpoint
 * @param vm the VM that it runs on
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
