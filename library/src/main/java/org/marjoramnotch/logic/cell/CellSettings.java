package org.marjoramnotch.logic.cell;

/**
 * Settings of a cell's core.
 *
 * @param snapshotEveryEntries applied entries after which the log is replaced by a snapshot
 */
public record CellSettings(int snapshotEveryEntries) {}
