package org.marjoramnotch.logic.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.command.ChangeEndpointState;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.ForgetClaims;
import org.marjoramnotch.model.command.ForgetEndpoint;
import org.marjoramnotch.model.command.RegisterEndpoint;
import org.marjoramnotch.model.command.ReleaseSlot;
import org.marjoramnotch.model.command.RemoveEndpoint;
import org.marjoramnotch.model.command.ReserveSlot;
import org.marjoramnotch.model.endpoint.EndpointDescription;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.AnnounceEndpoint;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.EndAttempt;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.message.RenewEntry;

/**
 * A placement state with its leader in virtual time and a log that commits after a configurable
 * delay.
 */
final class TestCell implements LeaderOutput {
    static final AvailabilityZone ZONE = new AvailabilityZone("a");
    private static final long TICK_MILLISECONDS = 20;

    final TestConfiguration configuration;
    final TeamUsage usage;
    final PlacementState state;
    final PlacementSettings settings;
    final Map<RequestHandle, CellReply> replies = new HashMap<>();
    BiConsumer<RequestHandle, CellReply> listener = (handle, reply) -> {};
    PlacementPolicy policy = PlacementPolicy.FAIR;
    PlacementMetricsListener metricsListener = PlacementMetricsListener.NONE;
    PlacementDuty duty;
    long now;
    long commitMilliseconds;
    private final Deque<Proposed> log = new ArrayDeque<>();
    private long correlation;

    private record Proposed(long dueMilliseconds, Command command) {}

    TestCell(TestConfiguration configuration, PlacementSettings settings) {
        this.configuration = configuration;
        this.settings = settings;
        this.usage = new TeamUsage(configuration::limit);
        this.state = new PlacementState(configuration, usage);
        this.duty = new PlacementDuty(settings, configuration, state, usage, 0);
    }

    static TestCell create(TestConfiguration configuration) {
        return new TestCell(configuration, PlacementSettings.defaults());
    }

    /**
     * Starts a new term. The given number of proposed commands is still committed; the others are
     * lost.
     */
    void newLeader(int committed) {
        for (int entry = 0; entry < committed && !log.isEmpty(); entry++) {
            apply(log.removeFirst().command());
        }
        log.clear();
        duty =
                new PlacementDuty(
                        settings, configuration, state, usage, now, policy, metricsListener);
    }

    @Override
    public void propose(Command command) {
        log.addLast(new Proposed(now + commitMilliseconds, command));
    }

    @Override
    public void reply(RequestHandle handle, CellReply reply) {
        assertThat(replies.put(handle, reply)).as("first answer of %s", handle).isNull();
        listener.accept(handle, reply);
    }

    RequestHandle send(CellRequest request) {
        RequestHandle handle = new RequestHandle("link", correlation++);
        duty.onRequest(now, handle, request, this);
        commit();
        return handle;
    }

    Optional<CellReply> answer(RequestHandle handle) {
        return Optional.ofNullable(replies.get(handle));
    }

    void advance(long milliseconds) {
        long until = now + milliseconds;
        while (now < until) {
            now += Math.min(until - now, TICK_MILLISECONDS - now % TICK_MILLISECONDS);
            commit();
            if (now % TICK_MILLISECONDS == 0) {
                duty.onTick(now, this);
                commit();
            }
        }
    }

    void commit() {
        while (!log.isEmpty() && log.peekFirst().dueMilliseconds() <= now) {
            Command command = log.removeFirst().command();
            duty.onApplied(now, command, apply(command), this);
        }
    }

    CommandResult apply(Command command) {
        if (command instanceof ReserveSlot reserve) {
            return state.apply(reserve);
        } else if (command instanceof ReleaseSlot release) {
            return state.apply(release);
        } else if (command instanceof RegisterEndpoint register) {
            return state.apply(register);
        } else if (command instanceof ChangeEndpointState change) {
            return state.apply(change);
        } else if (command instanceof RemoveEndpoint remove) {
            return state.apply(remove);
        } else if (command instanceof ForgetEndpoint forget) {
            return state.apply(forget);
        }
        return state.apply((ForgetClaims) command);
    }

    static EndpointDescription endpoint(String name, String incarnation, int slots) {
        return new EndpointDescription(
                new EndpointId(name),
                incarnation,
                TestConfiguration.SERVICE,
                "127.0.0.1",
                1,
                slots,
                2 * slots,
                ZONE,
                "vm");
    }

    RequestHandle announce(EndpointDescription endpoint, EndpointState endpointState) {
        return announce(endpoint, endpointState, List.of(), List.of());
    }

    RequestHandle announce(
            EndpointDescription endpoint,
            EndpointState endpointState,
            List<AttemptId> running,
            List<AttemptId> abandoned) {
        return send(new AnnounceEndpoint(endpoint, endpointState, running, abandoned));
    }

    RequestHandle renewEntry(String incarnation) {
        return send(new RenewEntry(new VmId("entry"), incarnation));
    }

    static AttemptId attempt(long sequence) {
        return new AttemptId(new VmId("entry"), "i1", sequence);
    }

    static PlaceRequest request(String team, long sequence, long wait) {
        return request(team, attempt(sequence), SlotKind.REQUEST, false, wait);
    }

    static PlaceRequest request(
            String team, AttemptId attempt, SlotKind kind, boolean urgent, long wait) {
        return new PlaceRequest(
                attempt,
                Optional.of(TestConfiguration.credential(team)),
                TestConfiguration.queue(kind),
                kind,
                urgent,
                wait,
                ZONE,
                Optional.empty(),
                List.of());
    }

    static EndAttempt end(long sequence, ExecutionOutcome outcome) {
        return end(attempt(sequence), outcome, false);
    }

    static EndAttempt end(AttemptId attempt, ExecutionOutcome outcome, boolean failed) {
        return new EndAttempt(attempt, outcome, failed, 100, Optional.empty());
    }
}
