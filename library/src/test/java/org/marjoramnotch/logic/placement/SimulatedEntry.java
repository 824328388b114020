package org.marjoramnotch.logic.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.marjoramnotch.logic.entry.AttemptState;
import org.marjoramnotch.logic.entry.EndpointAnswer;
import org.marjoramnotch.logic.entry.EntryAction;
import org.marjoramnotch.logic.entry.EntryRequest;
import org.marjoramnotch.logic.entry.RequestAttempts;
import org.marjoramnotch.logic.entry.RetryBudget;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.endpoint.IdempotencyClaim;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.EndAttempt;
import org.marjoramnotch.model.message.Granted;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.RenewEntry;

/** An entry process that executes the actions of {@link RequestAttempts}. */
final class SimulatedEntry {
    private static final List<QueueName> QUEUES =
            List.of(TestConfiguration.ONCE, TestConfiguration.IDEMPOTENT, TestConfiguration.FEED);
    private static final long RESEND_MILLISECONDS = 200;

    private final VmId vm;
    private final PlacementSimulation simulation;
    private final RetryBudget budget = RetryBudget.withDefaults();
    private int incarnation;
    private long sequence;
    private int open;
    private long pausedUntil;

    SimulatedEntry(String name, PlacementSimulation simulation) {
        this.vm = new VmId(name);
        this.simulation = simulation;
        renewPeriodically();
    }

    private void renewPeriodically() {
        if (simulation.cell().now >= pausedUntil) {
            simulation.send(new RenewEntry(vm, "i" + incarnation), reply -> {});
        }
        simulation.schedule(1_000, this::renewPeriodically);
    }

    void restart() {
        incarnation++;
        for (; open > 0; open--) {
            simulation.onCallerLost();
        }
    }

    void startRequest() {
        QueueName queue = QUEUES.get(simulation.random.nextInt(QUEUES.size()));
        String team = simulation.random.nextInt(3) == 0 ? "small" : "big";
        simulation.onRequestStarted();
        open++;
        new Call(queue, team).start();
    }

    /** A request of one caller. */
    private final class Call {
        private final int process = incarnation;
        private final QueueName queue;
        private final SlotKind kind;
        private final RequestAttempts attempts;
        private final Optional<IdempotencyClaim> claim;
        private final Set<AttemptId> waitingReports = new HashSet<>();
        private int runs;
        private Optional<ExecutionOutcome> reportedOutcome = Optional.empty();

        Call(QueueName queue, String team) {
            this.queue = queue;
            boolean feed = queue.equals(TestConfiguration.FEED);
            this.kind = feed ? SlotKind.FEED : SlotKind.REQUEST;
            boolean claims =
                    queue.equals(TestConfiguration.ONCE) && simulation.random.nextBoolean();
            String key = team + simulation.random.nextInt(100);
            this.claim = claims ? Optional.of(new IdempotencyClaim(key, key)) : Optional.empty();
            EntryRequest request =
                    new EntryRequest(
                            Optional.of(TestConfiguration.credential(team)),
                            queue,
                            kind,
                            simulation.random.nextInt(4) == 0,
                            TestCell.ZONE,
                            claim,
                            now() + 500 + simulation.random.nextInt(4_000));
            String name = "i" + process;
            attempts =
                    new RequestAttempts(request, () -> new AttemptId(vm, name, sequence++), budget);
            simulation.schedule(
                    request.deadlineMilliseconds() - now(),
                    () -> onEvent(() -> carryOut(attempts.onDeadline(now()))));
        }

        void start() {
            carryOut(attempts.start(now()));
        }

        private long now() {
            return simulation.cell().now;
        }

        private void onEvent(Runnable action) {
            if (process == incarnation) {
                action.run();
            }
        }

        private void carryOut(Iterable<EntryAction> actions) {
            for (EntryAction action : actions) {
                if (action instanceof EntryAction.Place place) {
                    place(place.request());
                } else if (action instanceof EntryAction.Send send) {
                    simulation.schedule(
                            simulation.random.nextInt(5),
                            () -> onEvent(() -> connect(send.granted())));
                } else if (action instanceof EntryAction.Report report) {
                    waitingReports.add(report.end().attempt());
                    report(report.end());
                } else if (action instanceof EntryAction.Relay) {
                    answerCaller(ExecutionOutcome.RAN);
                } else if (action instanceof EntryAction.Refuse refuse) {
                    answerCaller(refuse.refusal().outcome());
                }
            }
        }

        private void answerCaller(ExecutionOutcome outcome) {
            assertThat(reportedOutcome).as("first answer to the caller").isEmpty();
            reportedOutcome = Optional.of(outcome);
            simulation.onAnswered();
            open--;
            checkReportedOutcome();
        }

        private void checkReportedOutcome() {
            if (reportedOutcome.equals(Optional.of(ExecutionOutcome.NOT_RUN))) {
                assertThat(runs).as("runs of a request reported as not run").isZero();
            }
            if (queue.equals(TestConfiguration.ONCE)) {
                assertThat(runs).as("runs of a request on a run-once queue").isLessThanOrEqualTo(1);
            }
        }

        private void resend(PlaceRequest request) {
            if (isWaiting(request)) {
                attempts.onPlaceResent();
                place(request);
            }
        }

        private boolean isWaiting(PlaceRequest request) {
            return process == incarnation
                    && request.attempt().equals(attempts.attempt())
                    && !waitingReports.contains(request.attempt())
                    && attempts.state() == AttemptState.NOT_SENT
                    && reportedOutcome.isEmpty();
        }

        private void place(PlaceRequest request) {
            simulation.send(request, reply -> onEvent(() -> onPlaced(request, reply)));
            simulation.schedule(RESEND_MILLISECONDS, () -> resend(request));
        }

        private void onPlaced(PlaceRequest request, CellReply reply) {
            if (reply instanceof Granted granted) {
                carryOut(attempts.onGranted(now(), granted));
            } else if (reply instanceof Refused refused) {
                carryOut(attempts.onRefused(request.attempt(), refused.refusal()));
            }
        }

        private void report(EndAttempt end) {
            if (process == incarnation && waitingReports.contains(end.attempt())) {
                simulation.send(end, reply -> onEvent(() -> waitingReports.remove(end.attempt())));
                simulation.schedule(RESEND_MILLISECONDS, () -> report(end));
            }
        }

        private void connect(Granted granted) {
            SimulatedEndpoint endpoint = simulation.endpoint(granted.endpoint().value());
            if (!endpoint.alive) {
                carryOut(attempts.onConnectFailed(now()));
            } else if (!attempts.beginSending(now())) {
                carryOut(attempts.onGrantTooLate(now()));
            } else {
                simulation.schedule(pause(), () -> arrive(granted, endpoint));
            }
        }

        /**
         * Returns the delay of the first byte in milliseconds; occasionally simulates a paused
         * entry process.
         */
        private long pause() {
            if (!simulation.faults() || simulation.random.nextInt(100) > 0) {
                return 1;
            }
            pausedUntil = now() + 9_000;
            return simulation.random.nextInt(9_000);
        }

        /**
         * Delivers the request to the endpoint, whether or not the entry process is still alive.
         */
        private void arrive(Granted granted, SimulatedEndpoint endpoint) {
            if (!endpoint.alive) {
                onEvent(() -> onEnded(granted.attempt(), false));
            } else if (endpoint.state == EndpointState.LEAVING || !endpoint.start(granted, kind)) {
                onEvent(() -> onRefusedByEndpoint(granted.attempt()));
            } else {
                onStarted(endpoint, granted.attempt());
            }
        }

        private void onRefusedByEndpoint(AttemptId attempt) {
            if (attempts.attempt().equals(attempt)) {
                carryOut(attempts.onEndpointRefused(now()));
            }
        }

        private void onStarted(SimulatedEndpoint endpoint, AttemptId attempt) {
            runs++;
            claim.ifPresent(key -> simulation.onClaimRun(key.keyDigest()));
            checkReportedOutcome();
            int ran = endpoint.incarnation();
            int duration = 50 + simulation.random.nextInt(600);
            boolean silent = simulation.faults() && simulation.random.nextInt(20) == 0;
            if (silent) {
                simulation.schedule(
                        duration / 2,
                        () -> onEvent(() -> carryOut(attempts.onAnswerBroken(now()))));
            }
            simulation.schedule(
                    duration,
                    () -> {
                        boolean complete = endpoint.end(attempt, ran) && !silent;
                        onEvent(() -> onEnded(attempt, complete));
                    });
        }

        private void onEnded(AttemptId attempt, boolean complete) {
            if (!attempts.attempt().equals(attempt)) {
                return;
            }
            carryOut(
                    complete
                            ? attempts.onAnswerComplete(
                                    now(), new EndpointAnswer(200, Optional.empty()))
                            : attempts.onAnswerBroken(now()));
        }
    }
}
