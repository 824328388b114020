package org.marjoramnotch.model.message;

/** Confirms that the request has taken effect, now or earlier. */
public record Done() implements CellReply {}
