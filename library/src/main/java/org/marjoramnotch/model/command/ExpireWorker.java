package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.WorkerId;

/**
 * Removes a worker whose lease has expired; its runs end with {@code LEASE_EXPIRED}.
 *
 * @param worker the worker
 * @param epoch the fencing epoch that has expired; the command has no effect on any other epoch
 */
public record ExpireWorker(WorkerId worker, long epoch) implements Command {}
