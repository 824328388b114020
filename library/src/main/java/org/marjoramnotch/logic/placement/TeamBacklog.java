package org.marjoramnotch.logic.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * The requests of one team that wait for slots of one pool: urgent ones first, else in order of
 * arrival. After {@link #MAXIMUM_CONSECUTIVE_URGENT} urgent ones a waiting other one goes, so that
 * none starves.
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

    /** Returns the team. */
    public TeamName team() {
        return team;
    }

    /** Returns the weight of the team. */
    public int share() {
        return share;
    }

    /** Returns how many slots of the pool the team holds once what is proposed is applied. */
    public int outstanding() {
        return outstanding;
    }

    /** Returns the order of arrival of the request that has waited longest, urgent or not. */
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

    /** Returns by how much its slots in use change by what is proposed. */
    int pendingChange() {
        return pendingChange;
    }

    void pendingChange(int change) {
        pendingChange += change;
    }

    /** Returns the share that the pool counts for it; 0 while it neither holds slots nor waits. */
    int countedShare() {
        return countedShare;
    }

    void countedShare(int value) {
        countedShare = value;
    }

    /** Sets what it is ordered by; it must not be in an ordered set. */
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

    /** Uncounts a request that was withdrawn; it is skipped from now on. */
    void onWithdrawn(WaitingRequest request) {
        count(request, -1);
    }

    /** Returns the request that goes next. */
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
