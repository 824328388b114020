package org.marjoramnotch.model.message;

/**
 * How many workflows of a queue wait.
 *
 * @param pending accepted workflows of which no task has started
 */
public record QueueAnswer(int pending) implements CellReply {}
