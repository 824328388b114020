package org.marjoramnotch.model.message;

/**
 * The configuration in force.
 *
 * @param document the configuration document as the operator sent it
 */
public record ConfigurationAnswer(String document) implements CellReply {}
