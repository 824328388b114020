package org.marjoramnotch.daemon.endpoint;

/**
 * Where an endpoint is called.
 *
 * @param host its IP number
 * @param port its TCP port
 */
public record EndpointAddress(String host, int port) {}
