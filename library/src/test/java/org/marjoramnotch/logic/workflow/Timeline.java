package org.marjoramnotch.logic.workflow;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Schedules actions in virtual time. Actions of a leader are dropped when the leader changes. */
final class Timeline {
    private record TimedAction(long at, long order, boolean ofLeader, Runnable action) {}

    private final PriorityQueue<TimedAction> actions =
            new PriorityQueue<>(
                    Comparator.comparingLong(TimedAction::at)
                            .thenComparingLong(TimedAction::order));
    private long order;

    void add(long at, boolean ofLeader, Runnable action) {
        order++;
        actions.add(new TimedAction(at, order, ofLeader, action));
    }

    void runUntil(long now) {
        while (!actions.isEmpty() && actions.peek().at() <= now) {
            actions.remove().action().run();
        }
    }

    void dropLeaderActions() {
        actions.removeIf(TimedAction::ofLeader);
    }
}
