package org.marjoramnotch.model.message;

/** Reads the status of the cell. */
public record ReadStatus() implements CellRequest {}
