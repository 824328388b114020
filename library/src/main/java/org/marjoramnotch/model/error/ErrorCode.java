package org.marjoramnotch.model.error;

/** Tells callers, operators and programs the kind of an error; names are stable. */
public enum ErrorCode {
    /** A name has a shape that is not allowed. */
    INVALID_NAME,
    /** A request cannot be read. */
    INVALID_REQUEST,
    /** A settings file is not valid. */
    INVALID_SETTINGS,
    /** A rules file is not valid. */
    INVALID_RULES,
    /** No key came with the request, or it is unknown or withdrawn. */
    KEY_REFUSED,
    /** The key is valid but the queue belongs to another team. */
    QUEUE_PRIVATE,
    /** No queue has this name. */
    UNKNOWN_QUEUE,
    /** The queue's policy does not take this kind of work. */
    WRONG_QUEUE_POLICY,
    /** No job has this name, or it belongs to another team. */
    UNKNOWN_JOB,
    /** No worker or no current epoch of it is known. */
    UNKNOWN_WORKER,
    /** A message of an epoch or incarnation that has been replaced. */
    STALE_EPOCH,
    /** The team already runs as much as its upper limit allows. */
    TEAM_AT_LIMIT,
    /** No slot became free within the deadline. */
    DEADLINE_EXCEEDED,
    /** A queue is full. */
    OVERLOADED,
    /** No endpoint of the service is announced. */
    NO_ENDPOINT,
    /** The endpoint renews its lease, so that it cannot be forgotten. */
    ENDPOINT_ALIVE,
    /** The endpoint refused or could not be reached before the request was sent. */
    ENDPOINT_UNREACHABLE,
    /** The endpoint did not return a whole answer after the request was sent. */
    ENDPOINT_ANSWER_LOST,
    /** The idempotency key was used with another request. */
    IDEMPOTENCY_KEY_REUSED,
    /** The first request of this idempotency key has not ended. */
    IDEMPOTENT_REQUEST_RUNNING,
    /** The request of this idempotency key ran, and its answer was not kept. */
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
    /** The replica group is not formed, or already is. */
    GROUP_STATE,
    /** The process is stopping. */
    STOPPING,
    /** Stored state is damaged. */
    STORAGE_DAMAGED,
    /** Storage failed to write. */
    STORAGE_FAILED,
    /** An invariant does not hold; the process stops. */
    INVARIANT_VIOLATED
}
