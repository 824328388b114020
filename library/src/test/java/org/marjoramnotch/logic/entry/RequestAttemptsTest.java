package org.marjoramnotch.logic.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.EndAttempt;
import org.marjoramnotch.model.message.Granted;
import org.marjoramnotch.model.rule.Repetition;

class RequestAttemptsTest {
    private static final long DEADLINE = 10_000;
    private static final long START_WITHIN = 2_000;

    private final List<String> trace = new ArrayList<>();
    private long sequence;
    private long now;

    /**
     * Events: g granted, s send, c connection failed, n refused by endpoint as not run, b answer
     * broken, a answer complete, d deadline passed, x caller disconnected, l refused by leader, p
     * stored answer replayed, r place request resent, w grant expires. Actions are listed in short
     * form.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "ONCE | REQUEST | gsa | place send relay end:RAN",
                "ONCE | REQUEST | gsab | place send relay end:RAN",
                "ONCE | REQUEST | gc | place send end:NOT_RUN:failed place",
                "ONCE | REQUEST | gcgsa | place send end:NOT_RUN:failed place send relay end:RAN",
                "ONCE | REQUEST | gsn | place send end:NOT_RUN:failed place",
                "ONCE | REQUEST | gsb |"
                        + " place send end:UNKNOWN:failed ENDPOINT_ANSWER_LOST:UNKNOWN",
                "IDEMPOTENT | REQUEST | gsb | place send end:UNKNOWN:failed place",
                "IDEMPOTENT | REQUEST | gsbd | place send end:UNKNOWN:failed place end:NOT_RUN"
                        + " DEADLINE_EXCEEDED:UNKNOWN",
                "IDEMPOTENT | REQUEST | gsbl |"
                        + " place send end:UNKNOWN:failed place NO_ENDPOINT:UNKNOWN",
                "IDEMPOTENT | REQUEST | gsbgc | place send end:UNKNOWN:failed place send"
                        + " end:NOT_RUN:failed place",
                "ONCE | REQUEST | d | place end:NOT_RUN DEADLINE_EXCEEDED:NOT_RUN",
                "ONCE | REQUEST | dg | place end:NOT_RUN DEADLINE_EXCEEDED:NOT_RUN",
                "ONCE | REQUEST | gsda | place send DEADLINE_EXCEEDED:UNKNOWN end:RAN",
                "IDEMPOTENT | REQUEST | gsdb |"
                        + " place send DEADLINE_EXCEEDED:UNKNOWN end:UNKNOWN:failed",
                "ONCE | REQUEST | x | place end:NOT_RUN",
                "ONCE | REQUEST | gx | place send end:NOT_RUN",
                "ONCE | REQUEST | gsxa | place send end:RAN",
                "IDEMPOTENT | FEED | gsx | place send disconnect end:RAN",
                "ONCE | REQUEST | l | place NO_ENDPOINT:NOT_RUN",
                "ONCE | REQUEST | rl | place end:NOT_RUN NO_ENDPOINT:NOT_RUN",
                "ONCE | REQUEST | lg | place NO_ENDPOINT:NOT_RUN end:NOT_RUN",
                "ONCE | REQUEST | gsag | place send relay end:RAN",
                "ONCE | REQUEST | p | place replay",
                "ONCE | REQUEST | gws | place send late end:NOT_RUN place",
                "IDEMPOTENT | REQUEST | gsbgsbgsb | place send end:UNKNOWN:failed place send"
                        + " end:UNKNOWN:failed place send end:UNKNOWN:failed"
                        + " ENDPOINT_ANSWER_LOST:UNKNOWN",
            })
    void reportsTrueOutcomeForAnySequenceOfEvents(
            Repetition repetition, SlotKind kind, String events, String expected) {
        RequestAttempts attempts = attempts(kind);
        record(attempts.start(now));

        events.chars().forEach(event -> applyEvent(attempts, repetition, (char) event));

        assertThat(String.join(" ", trace)).isEqualTo(expected);
    }

    private RequestAttempts attempts(SlotKind kind) {
        EntryRequest request =
                new EntryRequest(
                        Optional.empty(),
                        new QueueName("checks"),
                        kind,
                        false,
                        new AvailabilityZone("a"),
                        Optional.empty(),
                        DEADLINE);
        return new RequestAttempts(
                request,
                () -> new AttemptId(new VmId("entry-1"), "i1", sequence++),
                new RetryBudget(RetryBudget.DEFAULT_FRACTION, 2));
    }

    private void applyEvent(RequestAttempts attempts, Repetition repetition, char event) {
        switch (event) {
            case 'g' -> record(attempts.onGranted(now, grant(attempts.attempt(), repetition)));
            case 's' -> send(attempts);
            case 'c' -> record(attempts.onConnectFailed(now));
            case 'n' -> record(attempts.onEndpointRefused(now));
            case 'b' -> record(attempts.onAnswerBroken(now));
            case 'a' ->
                    record(
                            attempts.onAnswerComplete(
                                    now, new EndpointAnswer(200, Optional.empty())));
            case 'd' -> {
                now = DEADLINE;
                record(attempts.onDeadline(now));
            }
            case 'r' -> attempts.onPlaceResent();
            case 'x' -> record(attempts.onCallerDisconnected(now));
            case 'l' ->
                    record(
                            attempts.onRefused(
                                    attempts.attempt(),
                                    Refusal.notRun(ErrorCode.NO_ENDPOINT, "none")));
            case 'p' ->
                    record(
                            attempts.onReplayed(
                                    attempts.attempt(),
                                    new StoredAnswer(200, "text/plain", new byte[0])));
            case 'w' -> now += START_WITHIN + 1;
            default -> throw new IllegalArgumentException("Unknown event " + event);
        }
    }

    private void send(RequestAttempts attempts) {
        if (!attempts.beginSending(now)) {
            trace.add("late");
            record(attempts.onGrantTooLate(now));
        }
    }

    private static Granted grant(AttemptId attempt, Repetition repetition) {
        return new Granted(
                attempt,
                new TeamName("t"),
                new EndpointId("e" + attempt.sequence()),
                "i1",
                "127.0.0.1",
                1,
                repetition,
                START_WITHIN);
    }

    private void record(List<EntryAction> actions) {
        trace.addAll(
                actions.stream().map(RequestAttemptsTest::actionName).collect(Collectors.toList()));
    }

    private static String actionName(EntryAction action) {
        if (action instanceof EntryAction.Report report) {
            EndAttempt end = report.end();
            return "end:" + end.outcome() + (end.endpointFailed() ? ":failed" : "");
        }
        if (action instanceof EntryAction.Refuse refuse) {
            return refuse.refusal().code() + ":" + refuse.refusal().outcome();
        }
        return action.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT);
    }
}
