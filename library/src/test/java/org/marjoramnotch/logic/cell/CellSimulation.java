package org.marjoramnotch.logic.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.replication.Coverage;
import org.marjoramnotch.logic.replication.SimulatedNetwork;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.NotLeader;
import org.marjoramnotch.model.replication.ReplicationEnvelope;

/**
 * Simulates the replicas of a cell with their clients in virtual time, one millisecond per step.
 */
final class CellSimulation {
    private static final long TICK_MILLISECONDS = 20;
    private static final long RESEND_MILLISECONDS = 400;
    private static final int RETRANSMISSION_MILLISECONDS = 400;

    /** A time of day, in milliseconds since the Unix epoch, at which simulations begin. */
    private static final long EPOCH = 1_700_000_000_000L;

    /** The link of requests that are sent to a host of choice, whether it leads or not. */
    private static final String READER = "reader";

    private record Event(long dueMilliseconds, long sequence, Runnable action) {}

    final UniformRandomProvider random;
    final SimulatedNetwork network;
    final List<SimulatedHost> hosts = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::dueMilliseconds)
                            .thenComparingLong(Event::sequence));
    private final Map<RequestHandle, Consumer<CellReply>> awaiting = new HashMap<>();
    private long sequence;
    private int presumedLeader;
    double lossRate;
    long time;

    CellSimulation(long seed, int replicas) {
        this(seed, CellGroup.fixed(replicas));
        hosts.get(0).core().formGroup(hosts.get(0).localTime(time));
    }

    CellSimulation(long seed, CellGroup group) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        network = new SimulatedNetwork(random, new Coverage());
        ReferenceCodec codec = new ReferenceCodec();
        group.vms().stream()
                .sorted()
                .map(vm -> new SimulatedHost(vm, group, codec, random, () -> EPOCH + time))
                .forEach(hosts::add);
        hosts.forEach(host -> host.start(time));
    }

    void schedule(long milliseconds, Runnable action) {
        events.add(new Event(time + milliseconds, sequence++, action));
    }

    void run(long milliseconds, Runnable eachStep) {
        for (long end = time + milliseconds; time < end; ) {
            step();
            eachStep.run();
        }
    }

    /** Sends a request repeatedly until it is answered or no longer wanted. */
    void sendUntilAnswered(
            CellRequest request,
            java.util.function.BooleanSupplier wanted,
            Consumer<CellReply> receiver) {
        boolean[] answered = {false};
        Runnable[] attempt = new Runnable[1];
        attempt[0] =
                () -> {
                    if (answered[0] || !wanted.getAsBoolean()) {
                        return;
                    }
                    send(
                            request,
                            reply -> {
                                if (!answered[0] && wanted.getAsBoolean()) {
                                    answered[0] = true;
                                    receiver.accept(reply);
                                }
                            });
                    schedule(RESEND_MILLISECONDS, attempt[0]);
                };
        attempt[0].run();
    }

    /** Sends a request once to a host, whether it leads or not. */
    void ask(SimulatedHost target, CellRequest request, Consumer<CellReply> receiver) {
        RequestHandle handle = new RequestHandle(READER, sequence++);
        awaiting.put(handle, receiver);
        schedule(1 + random.nextInt(4), () -> deliver(target, handle, request));
    }

    private void deliver(SimulatedHost target, RequestHandle handle, CellRequest request) {
        if (target.isPaused(time)) {
            schedule(target.pausedUntil() - time, () -> deliver(target, handle, request));
        } else if (target.isRunning()) {
            target.core().request(target.localTime(time), handle, request);
        }
    }

    private void send(CellRequest request, Consumer<CellReply> receiver) {
        SimulatedHost target = hosts.get(presumedLeader);
        RequestHandle handle = new RequestHandle("client", sequence++);
        awaiting.put(handle, receiver);
        if (losesMessage()) {
            presumedLeader = random.nextInt(hosts.size());
            return;
        }
        schedule(1 + random.nextInt(4), () -> arrive(target, handle, request));
    }

    private void arrive(SimulatedHost target, RequestHandle handle, CellRequest request) {
        if (target.isPaused(time)) {
            schedule(1, () -> arrive(target, handle, request));
            presumedLeader = random.nextInt(hosts.size());
        } else if (target.isRunning()) {
            target.core().request(target.localTime(time), handle, request);
        } else {
            presumedLeader = random.nextInt(hosts.size());
        }
    }

    private void deliver(OutgoingReply outgoing) {
        Consumer<CellReply> receiver = awaiting.remove(outgoing.handle());
        if (outgoing.handle().link().equals(READER)) {
            schedule(1 + random.nextInt(4), () -> receiver.accept(outgoing.reply()));
        } else if (outgoing.reply() instanceof NotLeader) {
            presumedLeader = random.nextInt(hosts.size());
        } else if (receiver != null && !losesMessage()) {
            schedule(1 + random.nextInt(4), () -> receiver.accept(outgoing.reply()));
        }
    }

    private boolean losesMessage() {
        return random.nextDouble() < lossRate;
    }

    private void step() {
        time++;
        for (ReplicationEnvelope envelope : network.due(time)) {
            hosts.stream()
                    .filter(host -> host.isAddressed(envelope))
                    .forEach(host -> deliver(host, envelope));
        }
        while (!events.isEmpty() && events.peek().dueMilliseconds() <= time) {
            events.poll().action().run();
        }
        for (SimulatedHost host : hosts) {
            if (host.isRunning() && !host.isPaused(time)) {
                if (time % TICK_MILLISECONDS == 0) {
                    host.core().tick(host.localTime(time));
                }
                host.processEffects(time, network, this::deliver);
            }
        }
    }

    private void deliver(SimulatedHost host, ReplicationEnvelope envelope) {
        if (host.isSuspended(time)) {
            // The sender's kernel repeats the message some time after the VM has woken.
            long delay = 1 + random.nextInt(RETRANSMISSION_MILLISECONDS);
            network.postpone(host.pausedUntil() + delay, envelope);
        } else if (host.isPaused(time)) {
            network.postpone(time + 1, envelope);
        } else if (host.isRunning()) {
            host.core().receive(host.localTime(time), envelope.from(), envelope.message());
        }
    }
}
