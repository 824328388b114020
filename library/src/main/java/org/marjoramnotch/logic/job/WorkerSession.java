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

/** What a leader knows of a registered worker during its term, besides the ledger. */
final class WorkerSession {
    final WorkerEntry entry;
    final WorkerHealth health = new WorkerHealth();

    /** When the last answer that may have renewed the lease left. */
    long lastAnswerMilliseconds;

    /** Whether the worker renewed its epoch in this term; nothing is placed on it before. */
    boolean confirmed;

    /** Whether the end of its epoch was proposed; its lease is not renewed any more. */
    boolean ending;

    /** Renewals that await their answer; more than one when the worker sent another meanwhile. */
    final List<RequestHandle> heldRenewals = new ArrayList<>();

    long holdEndMilliseconds;

    /** Whether the held renewal is answered as soon as its reports are applied. */
    boolean answerPromptly;

    /** Ends that the worker reported and that are not applied yet. */
    final Set<TaskAttemptId> endsProposed = new HashSet<>();

    /** Runs in the worker's last renewal. */
    Set<TaskAttemptId> reported = Set.of();

    /** Runs that the worker reported as running at least once in this term. */
    final Set<TaskAttemptId> seenRunning = new HashSet<>();

    /** Since when runs that were seen are missing in the worker's reports. */
    final Map<TaskAttemptId, Long> missingSinceMilliseconds = new HashMap<>();

    /** Orders besides starts and stops that follow from the ledger. */
    final Map<TaskAttemptId, WorkerOrder> extraOrders = new HashMap<>();

    /** Orders of the last answer that had any. */
    Set<WorkerOrder> sentOrders = Set.of();

    long ordersSentMilliseconds;

    /** Announcements that wait for the end of the current epoch. */
    final List<RequestHandle> announcements = new ArrayList<>();

    @Nullable WorkerDescription announcedDescription;

    /** Keeps the worker for one job. */
    @Nullable CapacityReservation reservation;

    /** Position in the index of free capacity. */
    int slot = -1;

    /** Held by placements that are proposed and not applied yet. */
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

    /** Returns what is neither held by runs nor by proposed placements. */
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

    /** Tells whether a job may use the worker that would end at the given time. */
    boolean admits(QueuedJob queued, long endMilliseconds) {
        if (reservation != null && reservation.owner.isEmpty()) {
            reservation = null;
        }
        return reservation == null
                || reservation.owner == queued
                || endMilliseconds <= reservation.startMilliseconds;
    }

    /** Lets the worker go when the job that it is kept for has started on it. */
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
