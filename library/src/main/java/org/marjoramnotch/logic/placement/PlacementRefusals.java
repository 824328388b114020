package org.marjoramnotch.logic.placement;

import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.ServiceName;

/** The refusals that a leader tells entries; each names the remedy. */
final class PlacementRefusals {
    private PlacementRefusals() {}

    static Refusal deadlineExceeded() {
        return Refusal.notRun(
                ErrorCode.DEADLINE_EXCEEDED,
                "No slot became free within the deadline; retry with a longer one.");
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
                ErrorCode.DEADLINE_EXCEEDED, "The entry gave the attempt up; make a new one.");
    }

    static Refusal ended() {
        return new Refusal(
                ErrorCode.STALE_EPOCH,
                ExecutionOutcome.UNKNOWN,
                "The attempt has ended; make a new one.");
    }

    static Refusal staleEntry() {
        return Refusal.notRun(
                ErrorCode.STALE_EPOCH,
                "Another process has replaced this entry; renew its lease before placing.");
    }

    static Refusal queueFull(int capacity) {
        return Refusal.notRun(
                ErrorCode.OVERLOADED,
                capacity + " requests of the team already wait for the service; retry later.");
    }

    static Refusal noEndpoint(ServiceName service) {
        return Refusal.notRun(
                ErrorCode.NO_ENDPOINT,
                "No endpoint of service " + service + " takes work; start one or retry later.");
    }
}
