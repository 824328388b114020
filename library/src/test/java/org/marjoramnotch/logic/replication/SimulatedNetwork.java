package org.marjoramnotch.logic.replication;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.ReplicationEnvelope;

/** Delivers messages late, twice, out of order or not at all. */
public final class SimulatedNetwork {
    private record Delivery(long time, long sequence, ReplicationEnvelope envelope) {}

    private record Link(VmId from, VmId to) {}

    private final UniformRandomProvider random;
    private final Coverage coverage;
    private final PriorityQueue<Delivery> deliveries =
            new PriorityQueue<>(
                    Comparator.comparingLong(Delivery::time).thenComparingLong(Delivery::sequence));
    private final Set<Link> cuts = new HashSet<>();
    private double faultRate;
    private long sequence;

    public SimulatedNetwork(UniformRandomProvider random, Coverage coverage) {
        this.random = random;
        this.coverage = coverage;
    }

    public void faultRate(double rate) {
        faultRate = rate;
    }

    public void cut(VmId from, VmId to) {
        cuts.add(new Link(from, to));
    }

    public void heal() {
        cuts.clear();
    }

    /** Sends a message, subject to the current faults. */
    public void send(long now, ReplicationEnvelope envelope) {
        if (cuts.contains(new Link(envelope.from().vm(), envelope.to().vm()))) {
            coverage.count(CoveredEvent.MESSAGE_CUT);
            return;
        }
        if (fault()) {
            coverage.count(CoveredEvent.MESSAGE_DROPPED);
            return;
        }
        deliver(now, envelope);
        if (fault()) {
            coverage.count(CoveredEvent.MESSAGE_DUPLICATED);
            deliver(now, envelope);
        }
    }

    /** Delivers a message later that a paused process cannot receive now. */
    public void postpone(long until, ReplicationEnvelope envelope) {
        deliveries.add(new Delivery(until, sequence++, envelope));
    }

    /** Returns and removes the messages that have arrived. */
    public List<ReplicationEnvelope> due(long now) {
        List<ReplicationEnvelope> due = new ArrayList<>();
        while (!deliveries.isEmpty() && deliveries.peek().time() <= now) {
            due.add(deliveries.poll().envelope());
        }
        return due;
    }

    private void deliver(long now, ReplicationEnvelope envelope) {
        long delay = random.nextLong(1, 4);
        if (fault()) {
            coverage.count(CoveredEvent.MESSAGE_DELAYED);
            delay += random.nextLong(1, 3_000);
        }
        deliveries.add(new Delivery(now + delay, sequence++, envelope));
    }

    private boolean fault() {
        return random.nextDouble() < faultRate;
    }
}
