package org.marjoramnotch.logic.placement;

import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.ServiceName;

/** The refusals that a leader sends to entries. Each message states the remedy. */
final class PlacementRefusals {
    private PlacementRefusals() {}

    static Refusal deadlineExceeded() {
        return Refusal.notRun(
                ErrorCode.DEADLINE_EXCEEDED,
                "No slot became free within the deadline; retry with a longer deadline.");
    }

    static Refusal deadlineTooShort(long expectedMilliseconds) {
        return Refusal.notRun(
                ErrorCode.DEADLINE_EXCEEDED,
                "A slot is expected in "
                        + expectedMilliseconds
                        + " milliseconds, after the deadline; retry later or with a longer one.");
    }

    static Refusal withdrawn() {
        return Refusal.notRun(
                ErrorCode.DEADLINE_EXCEEDED, "The entry ended the attempt; start a new one.");
    }

    static Refusal ended() {
        return new Refusal(
                ErrorCode.STALE_EPOCH,
                ExecutionOutcome.UNKNOWN,
                "The attempt has already ended; start a new one.");
    }

    static Refusal staleEntry() {
        return Refusal.notRun(
                ErrorCode.STALE_EPOCH,
                "Another process has replaced this entry; renew the entry lease first.");
    }

    static Refusal queueFull(int capacity) {
        return Refusal.notRun(
                ErrorCode.OVERLOADED,
                capacity + " requests of the team already wait for the service; retry later.");
    }

    static Refusal noEndpoint(ServiceName service) {
        return Refusal.notRun(
                ErrorCode.NO_ENDPOINT,
                "No endpoint of service " + service + " accepts work; start one or retry later.");
    }
}
