package org.marjoramnotch.model.order;

/** Why a worker did not do as it was told. */
public enum RejectionReason {
    /** It has seen a higher fencing token. */
    FENCED,
    /** This run or a later one of the task has ended or was stopped there. */
    SUPERSEDED,
    /** The lease that came with the order is over. */
    LEASE_OVER,
    /** The task does not fit. */
    NO_ROOM,
    /** The ticket is missing, foreign or no longer valid. */
    NO_TICKET,
    /** Another life of the worker answered. */
    OTHER_INCARNATION,
    /** The worker is overloaded or unhealthy for now. */
    UNHEALTHY,
    /** The worker could not read the order. */
    UNREADABLE
}
