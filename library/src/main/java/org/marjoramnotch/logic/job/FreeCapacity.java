package org.marjoramnotch.logic.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.resource.Resources;

/** Index of workers by their free capacity. Each update and search touches only a few workers. */
final class FreeCapacity {
    private static final int BEST_FIT_CANDIDATES = 24;

    private final List<@Nullable WorkerSession> slots = new ArrayList<>();
    private final List<Resources> indexedAmounts = new ArrayList<>();
    private final Deque<Integer> unusedSlots = new ArrayDeque<>();
    private final CapacityTree allZones = new CapacityTree();
    private final Map<AvailabilityZone, CapacityTree> zones = new HashMap<>();
    private final List<NavigableSet<FreeAmount>> byAmount = new ArrayList<>();
    private Resources totalFree = Resources.NONE;
    private int nextSample;

    FreeCapacity() {
        for (int dimension = 0; dimension < ResourceDimension.ALL.length; dimension++) {
            byAmount.add(new TreeSet<>());
        }
    }

    /** Adds a worker, or updates its free capacity. */
    void put(WorkerSession worker) {
        if (worker.slot < 0) {
            worker.slot = allocateSlot();
            slots.set(worker.slot, worker);
        } else {
            removeFromIndexes(worker.slot);
        }
        Resources free = worker.free();
        indexedAmounts.set(worker.slot, free);
        allZones.set(worker.slot, free);
        zoneTree(worker).set(worker.slot, free);
        for (ResourceDimension dimension : ResourceDimension.ALL) {
            amountsOf(dimension).add(new FreeAmount(dimension.of(free), worker.slot));
        }
        totalFree = totalFree.plus(free);
    }

    /** Removes a worker from the index, or does nothing if it is not in the index. */
    void remove(WorkerSession worker) {
        if (worker.slot < 0) {
            return;
        }
        removeFromIndexes(worker.slot);
        allZones.clear(worker.slot);
        zoneTree(worker).clear(worker.slot);
        slots.set(worker.slot, null);
        unusedSlots.push(worker.slot);
        worker.slot = -1;
    }

    /** Returns false, in constant time, if certainly no worker has the amounts free. */
    boolean mayHold(Resources needed) {
        return allZones.mayHold(needed);
    }

    Resources totalFree() {
        return totalFree;
    }

    /**
     * Returns the worker that would be left with the least of the scarcest resource, which is the
     * one of which the amounts are the largest share of all free capacity. Falls back to first fit
     * after {@link #BEST_FIT_CANDIDATES} candidates.
     */
    Optional<WorkerSession> bestFit(Resources needed, Predicate<WorkerSession> allowed) {
        if (!mayHold(needed)) {
            return Optional.empty();
        }
        ResourceDimension scarcest = ResourceDimension.dominant(needed, totalFree);
        FreeAmount least = new FreeAmount(scarcest.of(needed), -1);
        int candidates = 0;
        for (FreeAmount amount : amountsOf(scarcest).tailSet(least)) {
            WorkerSession worker = slots.get(amount.slot());
            if (worker != null && worker.free().holds(needed) && allowed.test(worker)) {
                return Optional.of(worker);
            }
            candidates++;
            if (candidates == BEST_FIT_CANDIDATES) {
                return firstFit(needed, allowed);
            }
        }
        return Optional.empty();
    }

    /** Returns the first allowed worker that has the amounts free. */
    Optional<WorkerSession> firstFit(Resources needed, Predicate<WorkerSession> allowed) {
        return workerAt(allZones.find(needed, 0, slot -> isAllowed(slot, allowed)));
    }

    /**
     * Returns the first allowed worker of a zone that has the amounts free, searching cyclically
     * from a slot.
     */
    Optional<WorkerSession> firstFitInZone(
            AvailabilityZone zone, Resources needed, int from, Predicate<WorkerSession> allowed) {
        CapacityTree tree = zones.get(zone);
        if (tree == null) {
            return Optional.empty();
        }
        int first = slots.isEmpty() ? 0 : from % slots.size();
        return workerAt(tree.find(needed, first, slot -> isAllowed(slot, allowed)));
    }

    /** Returns up to the given number of workers, continuing after the previous sample. */
    List<WorkerSession> sample(int maximum) {
        List<WorkerSession> sampled = new ArrayList<>();
        int scanned = Math.min(maximum, slots.size());
        for (int i = 0; i < scanned; i++) {
            nextSample = (nextSample + 1) % slots.size();
            WorkerSession worker = slots.get(nextSample);
            if (worker != null) {
                sampled.add(worker);
            }
        }
        return sampled;
    }

    Iterable<AvailabilityZone> zones() {
        return zones.keySet();
    }

    int slotCount() {
        return slots.size();
    }

    private boolean isAllowed(int slot, Predicate<WorkerSession> allowed) {
        WorkerSession worker = slots.get(slot);
        return worker != null && allowed.test(worker);
    }

    private Optional<WorkerSession> workerAt(int slot) {
        return slot < 0 ? Optional.empty() : Optional.ofNullable(slots.get(slot));
    }

    private void removeFromIndexes(int slot) {
        Resources before = indexedAmounts.get(slot);
        for (ResourceDimension dimension : ResourceDimension.ALL) {
            amountsOf(dimension).remove(new FreeAmount(dimension.of(before), slot));
        }
        totalFree = totalFree.minus(before);
    }

    private int allocateSlot() {
        if (!unusedSlots.isEmpty()) {
            return unusedSlots.pop();
        }
        slots.add(null);
        indexedAmounts.add(Resources.NONE);
        return slots.size() - 1;
    }

    private NavigableSet<FreeAmount> amountsOf(ResourceDimension dimension) {
        return byAmount.get(dimension.ordinal());
    }

    private CapacityTree zoneTree(WorkerSession worker) {
        return zones.computeIfAbsent(worker.entry.description.zone(), zone -> new CapacityTree());
    }
}
