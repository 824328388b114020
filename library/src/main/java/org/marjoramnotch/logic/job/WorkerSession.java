package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.WorkerDescription;
import org.marjoramnotch.model.job.WorkerOrder;
import org.marjoramnotch.model.resource.Resources;

/**
 * The state that a leader keeps of a registered worker during its term, in addition to the ledger.
 */
final class WorkerSession {
    final WorkerEntry entry;
    final WorkerHealth health = new WorkerHealth();

    /** When the last answer that may have renewed the lease was sent. */
    long lastAnswerMilliseconds;

    /** Whether the worker renewed its epoch in this term; nothing is placed on it before that. */
    boolean confirmed;

    /** Whether the end of its epoch was proposed; its lease is not renewed any more. */
    boolean ending;

    /**
     * Renewals that are not answered yet; more than one if the worker sent another in the meantime.
     */
    final List<RequestHandle> heldRenewals = new ArrayList<>();

    long holdEndMilliseconds;

    /** Whether the held renewal is answered as soon as its reports are applied. */
    boolean answerPromptly;

    /** Runs whose end the worker reported and whose end is not applied yet. */
    final Set<TaskAttemptId> endsProposed = new HashSet<>();

    /** Runs in the worker's last renewal. */
    Set<TaskAttemptId> reported = Set.of();

    /** Runs that the worker reported as running at least once in this term. */
    final Set<TaskAttemptId> seenRunning = new HashSet<>();

    /**
     * Runs that were reported before, with the time of the first report that did not contain them.
     */
    final Map<TaskAttemptId, Long> missingSinceMilliseconds = new HashMap<>();

    /** Orders in addition to the starts and stops that follow from the ledger. */
    final Map<TaskAttemptId, WorkerOrder> extraOrders = new HashMap<>();

    /** Orders in the last answer that contained any. */
    Set<WorkerOrder> sentOrders = Set.of();

    long ordersSentMilliseconds;

    /** Announcements that wait for the end of the current epoch. */
    final List<RequestHandle> announcements = new ArrayList<>();

    @Nullable WorkerDescription announcedDescription;

    /** Reserves the worker for one job. */
    @Nullable CapacityReservation reservation;

    /** Slot in the index of free capacity; -1 if the worker is not in it. */
    int slot = -1;

    /** Resources held by placements that are proposed but not applied yet. */
    private Resources pending = Resources.NONE;

    WorkerSession(WorkerEntry entry, long lastAnswerMilliseconds) {
        this.entry = entry;
        this.lastAnswerMilliseconds = lastAnswerMilliseconds;
    }

    WorkerId id() {
        return entry.id();
    }

    Resources capacity() {
        return entry.description.capacity();
    }

    /** Returns the capacity that neither runs nor proposed placements hold. */
    Resources free() {
        return entry.free().minus(pending);
    }

    boolean hasPending() {
        return !pending.equals(Resources.NONE);
    }

    void addPending(Resources needed) {
        pending = pending.plus(needed);
    }

    void removePending(Resources needed) {
        pending = pending.minus(needed);
    }

    boolean isReserved() {
        return reservation != null;
    }

    /** Returns whether a job that would end at the given time may use the worker. */
    boolean admits(QueuedJob queued, long endMilliseconds) {
        if (reservation != null && reservation.owner.isEmpty()) {
            reservation = null;
        }
        return reservation == null
                || reservation.owner == queued
                || endMilliseconds <= reservation.startMilliseconds;
    }

    /** Ends the reservation if it belongs to the given job, which has started on the worker. */
    void endReservation(JobEntry job) {
        if (reservation != null && reservation.owner.job == job) {
            reservation = null;
        }
    }

    boolean acceptsWork() {
        return confirmed && !ending && announcements.isEmpty() && health.acceptsWork();
    }

    List<RequestHandle> removeHeldRenewals() {
        List<RequestHandle> handles = List.copyOf(heldRenewals);
        heldRenewals.clear();
        answerPromptly = false;
        return handles;
    }

    void forget(TaskAttemptId attempt) {
        seenRunning.remove(attempt);
        missingSinceMilliseconds.remove(attempt);
        endsProposed.remove(attempt);
        extraOrders.remove(attempt);
    }
}
