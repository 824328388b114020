package org.marjoramnotch.daemon.endpoint;

/**
 * The address of an endpoint.
 *
 * @param host the IP address
 * @param port the TCP port
 */
public record EndpointAddress(String host, int port) {}
