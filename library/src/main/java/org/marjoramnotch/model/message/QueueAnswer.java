package org.marjoramnotch.model.message;

/**
 * The number of waiting workflows of a queue.
 *
 * @param pending number of accepted workflows of which no task has started
 */
public record QueueAnswer(int pending) implements CellReply {}
