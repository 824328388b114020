package org.marjoramnotch.logic.cell;

/**
 * Settings of a cell's core.
 *
 * @param snapshotEveryEntries the number of applied entries after which the log is replaced with a
 *     snapshot
 */
public record CellSettings(int snapshotEveryEntries) {}
