package org.marjoramnotch.logic.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * The requests of one team that wait for slots of one pool. Urgent requests are served first,
 * otherwise in order of arrival. After {@link #MAXIMUM_CONSECUTIVE_URGENT} consecutive urgent
 * requests a normal one is served, so that normal requests do not starve.
 */
public final class TeamBacklog {
    static final int MAXIMUM_CONSECUTIVE_URGENT = 8;

    private final TeamName team;
    private final Deque<WaitingRequest> urgent = new ArrayDeque<>();
    private final Deque<WaitingRequest> normal = new ArrayDeque<>();
    private int urgentWaiting;
    private int normalWaiting;
    private int consecutiveUrgent;
    private int share = 1;
    private int outstanding;
    private long oldestArrivalSequence;
    private boolean inOrder;
    private int pendingChange;
    private int countedShare;

    TeamBacklog(TeamName team) {
        this.team = team;
    }

    public TeamName team() {
        return team;
    }

    /** Returns the share (weight) of the team. */
    public int share() {
        return share;
    }

    /**
     * Returns the number of slots of the pool that the team holds once all proposed commands are
     * applied.
     */
    public int outstanding() {
        return outstanding;
    }

    /** Returns the arrival sequence number of the oldest waiting request, urgent or not. */
    public long oldestArrivalSequence() {
        return oldestArrivalSequence;
    }

    int waiting() {
        return urgentWaiting + normalWaiting;
    }

    int urgentWaiting() {
        return urgentWaiting;
    }

    boolean isInOrder() {
        return inOrder;
    }

    void inOrder(boolean value) {
        inOrder = value;
    }

    /**
     * Returns the net change of the team's slots in use by commands that are proposed but not yet
     * applied.
     */
    int pendingChange() {
        return pendingChange;
    }

    void pendingChange(int change) {
        pendingChange += change;
    }

    /**
     * Returns the share that the pool includes in its total; 0 while the team neither holds slots
     * nor has waiting requests.
     */
    int countedShare() {
        return countedShare;
    }

    void countedShare(int value) {
        countedShare = value;
    }

    /**
     * Updates the values that the team is ordered by. The backlog must not be in a sorted set
     * during the call.
     */
    void updateOrderKeys(int newShare, int newOutstanding) {
        share = newShare;
        outstanding = newOutstanding;
        skipWithdrawn(urgent);
        skipWithdrawn(normal);
        oldestArrivalSequence = Math.min(firstSequence(urgent), firstSequence(normal));
    }

    void add(WaitingRequest request) {
        queue(request).addLast(request);
        count(request, 1);
    }

    void addFirst(WaitingRequest request) {
        queue(request).addFirst(request);
        count(request, 1);
    }

    /**
     * Removes a withdrawn request from the counts; the request itself is skipped when it reaches
     * the head of its queue.
     */
    void onWithdrawn(WaitingRequest request) {
        count(request, -1);
    }

    /** Returns the request to be served next. */
    Optional<WaitingRequest> head() {
        skipWithdrawn(urgent);
        skipWithdrawn(normal);
        return Optional.ofNullable(nextQueue().peekFirst());
    }

    /** Removes the request that {@link #head} returned. */
    void removeHead() {
        Deque<WaitingRequest> queue = nextQueue();
        consecutiveUrgent = queue == urgent ? consecutiveUrgent + 1 : 0;
        @Nullable WaitingRequest request = queue.pollFirst();
        if (request != null) {
            count(request, -1);
        }
    }

    private Deque<WaitingRequest> nextQueue() {
        boolean normalTurn = consecutiveUrgent >= MAXIMUM_CONSECUTIVE_URGENT && !normal.isEmpty();
        return urgent.isEmpty() || normalTurn ? normal : urgent;
    }

    private static void skipWithdrawn(Deque<WaitingRequest> queue) {
        while (!queue.isEmpty() && queue.getFirst().isWithdrawn()) {
            queue.removeFirst();
        }
    }

    private static long firstSequence(Deque<WaitingRequest> queue) {
        @Nullable WaitingRequest first = queue.peekFirst();
        return first == null ? Long.MAX_VALUE : first.sequence();
    }

    private Deque<WaitingRequest> queue(WaitingRequest request) {
        return request.request().urgent() ? urgent : normal;
    }

    private void count(WaitingRequest request, int change) {
        if (request.request().urgent()) {
            urgentWaiting += change;
        } else {
            normalWaiting += change;
        }
    }
}
