package org.marjoramnotch.logic.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.EndpointRenewed;

/**
 * Simulates a cell with its entries and endpoints in virtual time, with a seeded sequence of
 * faults: lost and delayed messages, crashes of entries and endpoints, leaving endpoints, leader
 * changes and restored snapshots.
 */
final class PlacementSimulation {
    private static final int ENDPOINTS = 4;
    private static final int SLOTS = 3;
    private static final int ENTRIES = 3;
    private static final long RENEWAL_MILLISECONDS = 1_000;

    final UniformRandomProvider random;
    private final TestCell cell;
    private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final Map<RequestHandle, Consumer<CellReply>> awaiting = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::dueMilliseconds)
                            .thenComparingLong(Event::sequence));
    private final Set<String> claimRuns = new HashSet<>();
    private long eventSequence;
    private boolean faults = true;
    private int answered;
    private int unanswered;

    private record Event(long dueMilliseconds, long sequence, Runnable action) {}

    PlacementSimulation(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        TestConfiguration configuration =
                new TestConfiguration().team("big", 3, 8).team("small", 1, 4);
        cell = TestCell.create(configuration);
        cell.commitMilliseconds = 7;
        cell.listener =
                (handle, reply) -> {
                    Consumer<CellReply> receiver = awaiting.remove(handle);
                    if (receiver != null && !losesMessage()) {
                        schedule(1 + random.nextInt(20), () -> receiver.accept(reply));
                    }
                };
        for (int number = 0; number < ENDPOINTS; number++) {
            SimulatedEndpoint endpoint = new SimulatedEndpoint("e" + number, SLOTS, cell);
            endpoints.add(endpoint);
            announcePeriodically(endpoint);
        }
        for (int number = 0; number < ENTRIES; number++) {
            entries.add(new SimulatedEntry("entry" + number, this));
        }
    }

    TestCell cell() {
        return cell;
    }

    int answered() {
        return answered;
    }

    int unanswered() {
        return unanswered;
    }

    void onRequestStarted() {
        unanswered++;
    }

    void onAnswered() {
        unanswered--;
        answered++;
    }

    /** Handles a caller whose entry process crashed. */
    void onCallerLost() {
        unanswered--;
    }

    /**
     * Records that a request with an idempotency key was started on a queue that runs each request
     * at most once.
     */
    void onClaimRun(String key) {
        assertThat(claimRuns.add(key)).as("first run of idempotency key %s", key).isTrue();
    }

    boolean losesMessage() {
        return faults && random.nextInt(20) == 0;
    }

    boolean faults() {
        return faults;
    }

    SimulatedEndpoint endpoint(String name) {
        return endpoints.get(Integer.parseInt(name.substring(1)));
    }

    void schedule(long milliseconds, Runnable action) {
        events.add(new Event(cell.now + milliseconds, eventSequence++, action));
    }

    /** Sends a request to the leader over a network that loses and delays messages. */
    void send(CellRequest request, Consumer<CellReply> receiver) {
        if (!losesMessage()) {
            long delay = faults && random.nextInt(50) == 0 ? 400 : 1 + random.nextInt(20);
            schedule(delay, () -> awaiting.put(deliver(request, receiver), receiver));
        }
    }

    private RequestHandle deliver(CellRequest request, Consumer<CellReply> receiver) {
        RequestHandle handle = cell.send(request);
        CellReply early = cell.replies.get(handle);
        if (early != null && !losesMessage()) {
            schedule(1, () -> receiver.accept(early));
        }
        return handle;
    }

    private void announcePeriodically(SimulatedEndpoint endpoint) {
        schedule(
                RENEWAL_MILLISECONDS / 2 + random.nextInt((int) RENEWAL_MILLISECONDS),
                () -> {
                    if (endpoint.alive) {
                        int incarnation = endpoint.incarnation();
                        send(
                                endpoint.announcement(),
                                reply -> onRenewed(endpoint, incarnation, reply));
                    }
                    announcePeriodically(endpoint);
                });
    }

    private static void onRenewed(SimulatedEndpoint endpoint, int incarnation, CellReply reply) {
        boolean sameProcess = endpoint.alive && endpoint.incarnation() == incarnation;
        if (sameProcess && reply instanceof EndpointRenewed renewed) {
            endpoint.onRenewed(renewed);
        }
    }

    void run(long milliseconds) {
        long until = cell.now + milliseconds;
        while (cell.now < until) {
            entries.get(random.nextInt(ENTRIES)).startRequest();
            if (random.nextInt(40) == 0) {
                injectFault();
            }
            advance(20 + random.nextInt(60));
        }
    }

    /** Runs without further faults, so that all started requests can end. */
    void settle(long milliseconds) {
        faults = false;
        endpoints.stream().filter(this::isDown).forEach(SimulatedEndpoint::restart);
        advance(milliseconds);
    }

    private boolean isDown(SimulatedEndpoint endpoint) {
        return !endpoint.alive || endpoint.state == EndpointState.LEAVING;
    }

    private void advance(long milliseconds) {
        long until = cell.now + milliseconds;
        while (!events.isEmpty() && events.peek().dueMilliseconds() <= until) {
            Event event = events.poll();
            cell.advance(Math.max(0, event.dueMilliseconds() - cell.now));
            event.action().run();
        }
        cell.advance(until - cell.now);
        assertThat(cell.usage.total()).isEqualTo(cell.state.openAttempts().size());
    }

    private void injectFault() {
        SimulatedEndpoint endpoint = endpoints.get(random.nextInt(ENDPOINTS));
        switch (random.nextInt(5)) {
            case 0 -> {
                endpoint.alive = false;
                schedule(random.nextInt(6_000), endpoint::restart);
            }
            case 1 -> {
                endpoint.state = EndpointState.LEAVING;
                schedule(3_000 + random.nextInt(3_000), endpoint::restart);
            }
            case 2 -> entries.get(random.nextInt(ENTRIES)).restart();
            case 3 -> changeLeader();
            default -> {
                cell.state.restore(cell.state.snapshot());
                changeLeader();
            }
        }
    }

    private void changeLeader() {
        awaiting.clear();
        cell.newLeader(random.nextInt(4));
    }
}
