package org.marjoramnotch.model.message;

/** The request took effect, or had already. */
public record Done() implements CellReply {}
