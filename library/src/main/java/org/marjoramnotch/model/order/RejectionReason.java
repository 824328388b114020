package org.marjoramnotch.model.order;

/** Why a worker refused a call. */
public enum RejectionReason {
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** This run, or a later run of the task, has ended or was stopped on the worker. */
    SUPERSEDED,
    /** The lease that the call granted has expired. */
    LEASE_OVER,
    /** The task does not fit on the worker. */
    NO_ROOM,
    /** The ticket is missing, foreign or no longer valid. */
    NO_TICKET,
    /** A worker with another name answered at the address. */
    OTHER_INCARNATION,
    /** The worker is temporarily overloaded or unhealthy. */
    UNHEALTHY,
    /** The worker could not parse the call. */
    UNREADABLE
}
