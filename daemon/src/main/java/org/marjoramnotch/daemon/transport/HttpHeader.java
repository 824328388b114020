package org.marjoramnotch.daemon.transport;

/**
 * A header of an HTTP message.
 *
 * @param name the name, in any case
 * @param value the value
 */
public record HttpHeader(String name, String value) {}
