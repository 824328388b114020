package org.marjoramnotch.model.command;

import org.marjoramnotch.model.identifier.WorkerId;

/**
 * Removes a worker whose lease has run out; its runs ended with {@code LEASE_EXPIRED}.
 *
 * @param worker the worker
 * @param epoch the epoch that ran out; another one makes this a no-op
 */
public record ExpireWorker(WorkerId worker, long epoch) implements Command {}
