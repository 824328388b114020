package org.marjoramnotch.model.message;

/**
 * The configuration in force.
 *
 * @param document as the operator sent it
 */
public record ConfigurationAnswer(String document) implements CellReply {}
