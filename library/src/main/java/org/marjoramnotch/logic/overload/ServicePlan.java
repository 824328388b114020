package org.marjoramnotch.logic.overload;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * The order in which work is served when not all of it can be in time: bursts of a team or of short
 * work. Simulates service by a fluid server in the order priority, then due time. Where an item
 * would be late, the item with the most remaining work among it and those before it of the same
 * priority is set aside (Moore-Hodgson), so that as few items as possible are late.
 */
public final class ServicePlan {
    private static final Comparator<WorkItem> SERVICE_ORDER =
            Comparator.comparingInt(WorkItem::priority)
                    .thenComparingLong(WorkItem::dueMilliseconds)
                    .thenComparingLong(WorkItem::latestStartMilliseconds);

    private static final Comparator<WorkItem> MOST_WORK_FIRST =
            Comparator.comparingLong(WorkItem::remainingProcessorMilliseconds)
                    .thenComparingLong(WorkItem::dueMilliseconds)
                    .reversed();

    /** Why an item is set aside; items are served in the order of these reasons. */
    public enum Reason {
        /** Not all work can be in time, and setting this item aside lets the most others be. */
        CAPACITY,
        /** It can't be in time any more. */
        LATE,
        /** Its result has no value any more. */
        WORTHLESS
    }

    private final List<WorkItem> order = new ArrayList<>();
    private final Map<WorkId, Reason> setAside = new LinkedHashMap<>();

    private ServicePlan() {}

    /**
     * Plans the service of items.
     *
     * @param cores the rate at which capacity is freed; without any, no item is set aside for lack
     *     of capacity, since no time of service is known
     * @param leadMilliseconds how much earlier an item starts than the fluid server has done the
     *     work before it: tasks run one beside the other, so that half of a run time is left then
     */
    public static ServicePlan of(
            long nowMilliseconds,
            Collection<WorkItem> items,
            double cores,
            double leadMilliseconds) {
        ServicePlan plan = new ServicePlan();
        Map<Reason, List<WorkItem>> others = new EnumMap<>(Reason.class);
        for (Reason reason : Reason.values()) {
            others.put(reason, new ArrayList<>());
        }
        List<WorkItem> candidates = new ArrayList<>();
        for (WorkItem item : items) {
            if (item.isWorthless(nowMilliseconds)) {
                others.get(Reason.WORTHLESS).add(item);
            } else if (item.isLate(nowMilliseconds)) {
                others.get(Reason.LATE).add(item);
            } else {
                candidates.add(item);
            }
        }
        candidates.sort(SERVICE_ORDER);
        Set<WorkId> excess =
                cores > 0
                        ? findExcess(nowMilliseconds - leadMilliseconds, candidates, cores)
                        : new HashSet<>();
        for (WorkItem item : candidates) {
            (excess.contains(item.id()) ? others.get(Reason.CAPACITY) : plan.order).add(item);
        }
        others.forEach(
                (reason, late) -> {
                    late.sort(SERVICE_ORDER);
                    plan.order.addAll(late);
                    late.forEach(item -> plan.setAside.put(item.id(), reason));
                });
        return plan;
    }

    /** Returns all items, the one to be served first at the front. */
    public List<WorkItem> order() {
        return List.copyOf(order);
    }

    /** Returns the items that are served after all that can be in time, with the reason. */
    public Map<WorkId, Reason> setAside() {
        return Collections.unmodifiableMap(setAside);
    }

    private static Set<WorkId> findExcess(
            double startMilliseconds, List<WorkItem> ordered, double cores) {
        Set<WorkId> excess = new HashSet<>();
        PriorityQueue<WorkItem> kept = new PriorityQueue<>(MOST_WORK_FIRST);
        double work = 0;
        int priority = Integer.MIN_VALUE;
        for (WorkItem item : ordered) {
            if (item.priority() != priority) {
                kept.clear();
                priority = item.priority();
            }
            work += item.remainingProcessorMilliseconds();
            if (item.standing() || item.isUnderWay()) {
                continue;
            }
            if (!isLate(startMilliseconds, item, work, cores)) {
                kept.add(item);
                continue;
            }
            WorkItem largest = kept.peek();
            if (largest == null
                    || MOST_WORK_FIRST.compare(largest, item) > 0
                    || isLate(startMilliseconds, item, work - workOf(largest), cores)) {
                largest = item;
            } else {
                kept.remove();
                kept.add(item);
            }
            excess.add(largest.id());
            work -= workOf(largest);
        }
        return excess;
    }

    private static double workOf(WorkItem item) {
        return item.remainingProcessorMilliseconds();
    }

    /**
     * Returns whether an item is late when it is served last.
     *
     * @param work the core-milliseconds of the item and of those before it
     */
    private static boolean isLate(
            double startMilliseconds, WorkItem item, double work, double cores) {
        double before = work - item.remainingProcessorMilliseconds();
        return startMilliseconds + before / cores > item.latestStartMilliseconds()
                || startMilliseconds + work / cores > item.dueMilliseconds();
    }
}
