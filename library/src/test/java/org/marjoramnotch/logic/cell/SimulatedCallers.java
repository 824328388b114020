package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.endpoint.IdempotencyClaim;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.Credential;
import org.marjoramnotch.model.message.EndAttempt;
import org.marjoramnotch.model.message.EntryRenewed;
import org.marjoramnotch.model.message.Granted;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.message.RenewEntry;

/** A simulated entry process with its callers, who send each request with an idempotency key. */
final class SimulatedCallers {
    private static final long ENTRY_LEASE_MILLISECONDS = 3_000;
    private static final int IDEMPOTENCY_KEYS = 400;

    private final VmId vm;
    private final CellSimulation simulation;
    private final Map<String, SimulatedEndpoint> endpoints;
    private final Map<String, Integer> runsOfClaims;
    private int incarnation;
    private long sequence;
    private long renewedAt = -ENTRY_LEASE_MILLISECONDS;
    long completed;
    long startedAfterWithdrawal;

    /** The time at which the withdrawal of the key was accepted; empty while the key is granted. */
    Optional<Long> keyWithdrawnAt = Optional.empty();

    SimulatedCallers(
            String vm,
            CellSimulation simulation,
            Map<String, SimulatedEndpoint> endpoints,
            Map<String, Integer> runsOfClaims) {
        this.vm = new VmId(vm);
        this.simulation = simulation;
        this.endpoints = endpoints;
        this.runsOfClaims = runsOfClaims;
        renewPeriodically();
    }

    static Map<String, Integer> newClaims() {
        return new HashMap<>();
    }

    void restart() {
        incarnation++;
        renewedAt = -ENTRY_LEASE_MILLISECONDS;
    }

    void request() {
        int process = incarnation;
        long deadline = simulation.time + 3_000;
        AttemptId attempt = new AttemptId(vm, "i" + process, sequence++);
        String claim = "key-" + simulation.random.nextInt(IDEMPOTENCY_KEYS);
        boolean[] open = {true};
        simulation.sendUntilAnswered(
                place(attempt, claim),
                () -> process == incarnation && open[0],
                reply -> {
                    open[0] = false;
                    onPlaced(process, attempt, claim, deadline, reply);
                });
        simulation.schedule(
                3_000,
                () -> {
                    if (open[0] && process == incarnation) {
                        open[0] = false;
                        report(process, attempt, ExecutionOutcome.NOT_RUN);
                    }
                });
    }

    private void onPlaced(
            int process, AttemptId attempt, String claim, long deadline, CellReply reply) {
        if (!(reply instanceof Granted granted)) {
            return;
        }
        boolean leased = simulation.time - renewedAt < ENTRY_LEASE_MILLISECONDS;
        SimulatedEndpoint endpoint = endpoints.get(granted.endpoint().value());
        if (!leased || simulation.time > deadline) {
            report(process, attempt, ExecutionOutcome.NOT_RUN);
        } else if (!endpoint.start(attempt, granted.incarnation(), granted.team())) {
            report(process, attempt, ExecutionOutcome.NOT_RUN);
        } else {
            onStarted(process, attempt, claim, endpoint);
        }
    }

    private void onStarted(
            int process, AttemptId attempt, String claim, SimulatedEndpoint endpoint) {
        keyWithdrawnAt.ifPresent(
                withdrawn -> {
                    startedAfterWithdrawal++;
                    assertThat(simulation.time - withdrawn)
                            .as("start after the withdrawal of its key")
                            .isLessThan(3_000);
                });
        assertThat(runsOfClaims.merge(claim, 1, Integer::sum))
                .as("runs of idempotency key %s", claim)
                .isEqualTo(1);
        simulation.schedule(
                20 + simulation.random.nextInt(400),
                () -> {
                    boolean wasRunning = endpoint.end(attempt);
                    if (process == incarnation) {
                        report(
                                process,
                                attempt,
                                wasRunning ? ExecutionOutcome.RAN : ExecutionOutcome.UNKNOWN);
                    }
                });
    }

    private void report(int process, AttemptId attempt, ExecutionOutcome outcome) {
        simulation.sendUntilAnswered(
                new EndAttempt(attempt, outcome, false, 1, Optional.empty()),
                () -> process == incarnation,
                reply -> completed++);
    }

    private void renewPeriodically() {
        int process = incarnation;
        long sent = simulation.time;
        simulation.sendUntilAnswered(
                new RenewEntry(vm, "i" + process),
                () -> process == incarnation && simulation.time < sent + 1_000,
                reply -> {
                    if (reply instanceof EntryRenewed) {
                        renewedAt = Math.max(renewedAt, sent);
                    }
                });
        simulation.schedule(1_000, this::renewPeriodically);
    }

    private static PlaceRequest place(AttemptId attempt, String claim) {
        return new PlaceRequest(
                attempt,
                Optional.of(
                        new Credential(
                                new KeyId(SimulatedOperators.KEY), SimulatedOperators.DIGEST)),
                new QueueName("checks"),
                SlotKind.REQUEST,
                false,
                2_500,
                new AvailabilityZone("zone"),
                Optional.of(new IdempotencyClaim(claim, claim)),
                List.of());
    }
}
