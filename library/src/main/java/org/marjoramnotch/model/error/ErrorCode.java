package org.marjoramnotch.model.error;

/** The kind of an error, for callers, operators and programs. The names are stable. */
public enum ErrorCode {
    /** A name does not have the required form. */
    INVALID_NAME,
    /** A request cannot be read. */
    INVALID_REQUEST,
    /** The body of the request did not arrive in time. */
    REQUEST_TIMEOUT,
    /** A settings file is invalid. */
    INVALID_SETTINGS,
    /** A rules file is invalid. */
    INVALID_RULES,
    /** The request has no key, or its key is unknown or withdrawn. */
    KEY_REFUSED,
    /** The key is valid but the queue belongs to another team. */
    QUEUE_PRIVATE,
    /** No queue has this name. */
    UNKNOWN_QUEUE,
    /** The policy of the queue does not allow this kind of work. */
    WRONG_QUEUE_POLICY,
    /** No job has this name, or it belongs to another team. */
    UNKNOWN_JOB,
    /** The worker is unknown or has no current epoch. */
    UNKNOWN_WORKER,
    /** The message belongs to an epoch or incarnation that has been replaced. */
    STALE_EPOCH,
    /** The team already runs as much as its upper limit allows. */
    TEAM_AT_LIMIT,
    /** No slot became free within the deadline. */
    DEADLINE_EXCEEDED,
    /** A queue is full. */
    OVERLOADED,
    /** No endpoint of the service is announced. */
    NO_ENDPOINT,
    /** The endpoint cannot be removed, because it still renews its lease. */
    ENDPOINT_ALIVE,
    /** The endpoint refused the request, or could not be reached before the request was sent. */
    ENDPOINT_UNREACHABLE,
    /** The endpoint did not return a complete answer after the request was sent. */
    ENDPOINT_ANSWER_LOST,
    /** The idempotency key was used with another request. */
    IDEMPOTENCY_KEY_REUSED,
    /** The first request of this idempotency key has not ended. */
    IDEMPOTENT_REQUEST_RUNNING,
    /** The request of this idempotency key ran, but its answer was not stored. */
    ANSWER_NOT_KEPT,
    /** No VM is large enough for the job. */
    JOB_NEVER_FITS,
    /** The rules were changed since the version that the change is based on. */
    VERSION_CONFLICT,
    /** A request identifier was used with another change. */
    REQUEST_ID_REUSED,
    /** The cell has no leader that can commit. */
    NO_LEADER,
    /** This process is not the leader of the cell. */
    NOT_LEADER,
    /** The replica group has not been formed yet, or has already been formed. */
    GROUP_STATE,
    /** The process is stopping. */
    STOPPING,
    /** Stored state is damaged. */
    STORAGE_DAMAGED,
    /** The storage failed to write. */
    STORAGE_FAILED,
    /** An invariant is violated; the process stops. */
    INVARIANT_VIOLATED
}
