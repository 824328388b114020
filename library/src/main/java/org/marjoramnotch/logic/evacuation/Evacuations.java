package org.marjoramnotch.logic.evacuation;

import java.util.Collection;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.marjoramnotch.model.command.BeginEvacuation;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.command.FinishEvacuation;
import org.marjoramnotch.model.command.WorkflowCommand;
import org.marjoramnotch.model.fleet.EvacuationRecord;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.ZoneEvacuation;
import org.marjoramnotch.model.identifier.AvailabilityZone;

/** The replicated state of evacuations, and the availability zones that were named before. */
public final class Evacuations {
    /** Bounds the state if workers report ever new names; far above the zones of any fleet. */
    private static final int MAXIMUM_KNOWN = 1_000;

    private final Map<AvailabilityZone, ZoneEvacuation> zones = new TreeMap<>();

    /** Oldest first. */
    private final Set<AvailabilityZone> known = new LinkedHashSet<>();

    /**
     * Restores the state from a snapshot.
     *
     * @param workers the workers of the snapshot; snapshots of earlier releases name no zones
     */
    public void restore(EvacuationRecord snapshot, List<FleetWorker> workers) {
        snapshot.zones().forEach(evacuation -> zones.put(evacuation.zone(), evacuation));
        snapshot.known().forEach(this::addKnown);
        workers.forEach(worker -> addKnown(worker.availabilityZone()));
    }

    /** Returns a snapshot of the state. */
    public EvacuationRecord snapshot() {
        return new EvacuationRecord(List.copyOf(zones.values()), List.copyOf(known));
    }

    private void addKnown(AvailabilityZone zone) {
        if (known.add(zone) && known.size() > MAXIMUM_KNOWN) {
            Iterator<AvailabilityZone> oldest = known.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Applies a command, if it concerns availability zones. */
    public void apply(WorkflowCommand command) {
        if (command instanceof EnrollWorker enroll) {
            addKnown(enroll.worker().availabilityZone());
        } else if (command instanceof BeginEvacuation begin) {
            begin(begin);
        } else if (command instanceof FinishEvacuation finish) {
            finish(finish);
        }
    }

    private void begin(BeginEvacuation begin) {
        addKnown(begin.zone());
        if (!isEvacuated(begin.zone())) {
            long lastEnd = of(begin.zone()).map(ZoneEvacuation::endedEpochMilliseconds).orElse(0L);
            zones.put(
                    begin.zone(),
                    new ZoneEvacuation(
                            begin.zone(), true, begin.proposedEpochMilliseconds(), lastEnd));
        }
    }

    private void finish(FinishEvacuation finish) {
        addKnown(finish.zone());
        of(finish.zone())
                .filter(ZoneEvacuation::active)
                .ifPresent(
                        evacuation ->
                                zones.put(
                                        finish.zone(),
                                        new ZoneEvacuation(
                                                finish.zone(),
                                                false,
                                                evacuation.begunEpochMilliseconds(),
                                                finish.proposedEpochMilliseconds())));
    }

    /** Returns whether the availability zone of a worker is evacuated. */
    public boolean isEvacuated(FleetWorker worker) {
        return isEvacuated(worker.availabilityZone());
    }

    /** Returns whether an availability zone is evacuated. */
    public boolean isEvacuated(AvailabilityZone zone) {
        ZoneEvacuation evacuation = zones.get(zone);
        return evacuation != null && evacuation.active();
    }

    /** Returns whether any availability zone is evacuated. */
    public boolean isAnyActive() {
        return zones.values().stream().anyMatch(ZoneEvacuation::active);
    }

    /** Returns the latest evacuation of an availability zone. */
    public Optional<ZoneEvacuation> of(AvailabilityZone zone) {
        return Optional.ofNullable(zones.get(zone));
    }

    /** Returns the latest evacuation of each zone that was ever evacuated. */
    public Collection<ZoneEvacuation> all() {
        return Collections.unmodifiableCollection(zones.values());
    }

    /** Returns the availability zones that were named by workers or orders. */
    public Set<AvailabilityZone> known() {
        Set<AvailabilityZone> all = new TreeSet<>(known);
        all.addAll(zones.keySet());
        return all;
    }
}
