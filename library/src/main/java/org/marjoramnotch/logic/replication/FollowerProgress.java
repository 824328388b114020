package org.marjoramnotch.logic.replication;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.marjoramnotch.model.replication.Snapshot;

/** What a leader knows about the log of one other member. All times are of the leader's clock. */
final class FollowerProgress {
    private static final long NEVER = Long.MIN_VALUE / 4;

    private final Deque<Long> inFlight = new ArrayDeque<>();
    private final long trackedSinceMilliseconds;
    private long matchIndex;
    private long nextIndex;
    private boolean probing = true;
    private boolean probeSent;
    private long lastSentMilliseconds = NEVER;
    private long lastAcknowledgedSendMilliseconds = NEVER;
    private long lastReplyMilliseconds = NEVER;
    private Optional<SnapshotTransfer> snapshot = Optional.empty();
    private long roundTargetIndex;
    private long roundStartMilliseconds;

    FollowerProgress(long lastIndex, long now) {
        nextIndex = lastIndex + 1;
        trackedSinceMilliseconds = now;
        startRound(lastIndex, now);
    }

    /** Returns when the leader began to send to the member. */
    long trackedSinceMilliseconds() {
        return trackedSinceMilliseconds;
    }

    long matchIndex() {
        return matchIndex;
    }

    long nextIndex() {
        return nextIndex;
    }

    long lastSentMilliseconds() {
        return lastSentMilliseconds;
    }

    /** Returns the send time of the latest message that the member has answered. */
    long lastAcknowledgedSendMilliseconds() {
        return lastAcknowledgedSendMilliseconds;
    }

    /** Returns when the member last answered. */
    long lastReplyMilliseconds() {
        return lastReplyMilliseconds;
    }

    Optional<SnapshotTransfer> snapshot() {
        return snapshot;
    }

    boolean maySendEntries(int batchesInFlight) {
        if (snapshot.isPresent()) {
            return false;
        }
        return probing ? !probeSent : inFlight.size() < batchesInFlight;
    }

    /** Allows another probe, since the reply to the last one may be lost. */
    void retryProbe() {
        probeSent = false;
    }

    void onSent(long now) {
        lastSentMilliseconds = now;
    }

    void onEntriesSent(long lastIndex) {
        if (probing) {
            probeSent = true;
            return;
        }
        nextIndex = lastIndex + 1;
        inFlight.addLast(lastIndex);
    }

    void onReply(long answeredSentAt, long now) {
        lastAcknowledgedSendMilliseconds =
                Math.max(lastAcknowledgedSendMilliseconds, answeredSentAt);
        lastReplyMilliseconds = now;
    }

    void onMatch(long index) {
        if (index > matchIndex) {
            matchIndex = index;
        }
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        while (!inFlight.isEmpty() && inFlight.peekFirst() <= index) {
            inFlight.removeFirst();
        }
        if (probing && nextIndex == matchIndex + 1) {
            probing = false;
        }
        probeSent = false;
    }

    /**
     * Moves the next index back to where the logs may agree; a reply to an outdated message changes
     * nothing.
     */
    void onRejected(long previousIndex, long nextIndexHint) {
        boolean outdated =
                previousIndex <= matchIndex || (probing && previousIndex != nextIndex - 1);
        if (outdated) {
            return;
        }
        nextIndex = Math.max(matchIndex + 1, Math.min(nextIndexHint, previousIndex));
        probing = true;
        probeSent = false;
        inFlight.clear();
    }

    void startSnapshot(Snapshot sent) {
        snapshot = Optional.of(new SnapshotTransfer(sent));
    }

    void endSnapshot(long snapshotIndex) {
        snapshot = Optional.empty();
        inFlight.clear();
        nextIndex = snapshotIndex + 1;
        probing = true;
        onMatch(snapshotIndex);
    }

    /**
     * Returns whether the member has received all entries of the current round and the round took
     * no longer than a limit; starts the next round if it took longer.
     */
    boolean hasCaughtUp(long lastIndex, long now, long limitMilliseconds) {
        if (matchIndex < roundTargetIndex) {
            return false;
        }
        boolean withinLimit = now - roundStartMilliseconds <= limitMilliseconds;
        if (!withinLimit) {
            startRound(lastIndex, now);
        }
        return withinLimit;
    }

    private void startRound(long lastIndex, long now) {
        roundTargetIndex = lastIndex;
        roundStartMilliseconds = now;
    }
}
