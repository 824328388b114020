package org.marjoramnotch.logic.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.command.ChangeEndpointState;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.ForgetClaims;
import org.marjoramnotch.model.command.ForgetEndpoint;
import org.marjoramnotch.model.command.RegisterEndpoint;
import org.marjoramnotch.model.command.ReleaseSlot;
import org.marjoramnotch.model.command.RemoveEndpoint;
import org.marjoramnotch.model.command.ReserveSlot;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.endpoint.IdempotencyClaim;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.TeamName;

class PlacementStateTest {
    private static final EndpointId ENDPOINT = new EndpointId("e1");

    private final TestConfiguration configuration =
            new TestConfiguration().team("kyushu", 1, 5).team("hakata", 1, 100);
    private final TeamUsage usage = new TeamUsage(configuration::limit);
    private final PlacementState state = new PlacementState(configuration, usage);

    /**
     * Runs a script of words and compares the result of the next reservation. {@code N} reserves a
     * slot for attempt N, {@code NxO} ends attempt N with outcome O, {@code forget} drops a claim.
     * The other words register, restart or remove the endpoint or restore the state from a
     * snapshot.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "checks  | k:r | 1 | k:r | Accepted",
                "checks  | k:r | 1            | k:r | IDEMPOTENT_REQUEST_RUNNING:UNKNOWN",
                "checks  | k:r | 1 1xRAN      | k:r | ANSWER_NOT_KEPT:RAN",
                "checks  | k:r | 1 1xANSWER   | k:r | AnsweredBefore",
                "checks  | k:r | 1 1xLONG     | k:r | ANSWER_NOT_KEPT:RAN",
                "checks  | k:r | 1 1xUNKNOWN  | k:r | ENDPOINT_ANSWER_LOST:UNKNOWN",
                "permits | k:r | 1 1xUNKNOWN  | k:r | Accepted",
                "checks  | k:r | 1 restart    | k:r | ENDPOINT_ANSWER_LOST:UNKNOWN",
                "checks  | k:r | 1 forget-i1 register-i2 | k:r | ENDPOINT_ANSWER_LOST:UNKNOWN",
                "checks  | k:r | 1 1xNOT_RUN  | k:r | Accepted",
                "checks  | k:r | 1            | k:s | IDEMPOTENCY_KEY_REUSED:NOT_RUN",
                "checks  | k:r | 1 1xRAN      | k:s | IDEMPOTENCY_KEY_REUSED:NOT_RUN",
                "checks  | k:r | 1 1xRAN      | l:r | Accepted",
                "checks  | k:r | 1 1xANSWER forget | k:r | Accepted",
                "checks  | k:r | 1 1xANSWER snapshot | k:r | AnsweredBefore",
                "checks  | k:r | 1 snapshot   | k:r | IDEMPOTENT_REQUEST_RUNNING:UNKNOWN",
            })
    void idempotencyClaimIsRunOnlyOnce(
            String queue, String claim, String script, String nextClaim, String expected) {
        register("i1", 8);
        Arrays.stream(script.split(" ")).forEach(word -> runScriptWord(word, queue, claim));

        CommandResult result =
                expected.equals("Accepted") && script.equals("1")
                        ? reserve(1, queue, nextClaim)
                        : reserve(2, queue, nextClaim);

        assertThat(resultName(result)).isEqualTo(expected);
    }

    private void runScriptWord(String word, String queue, String claim) {
        switch (word) {
            case "forget" -> state.apply(new ForgetClaims(1));
            case "restart", "register-i2" -> register("i2", 8);
            case "forget-i0" -> state.apply(new ForgetEndpoint(ENDPOINT, "i0"));
            case "forget-i1" -> state.apply(new ForgetEndpoint(ENDPOINT, "i1"));
            case "remove-i1" -> state.apply(new RemoveEndpoint(ENDPOINT, "i1"));
            case "remove-i2" -> state.apply(new RemoveEndpoint(ENDPOINT, "i2"));
            case "snapshot" -> state.restore(state.snapshot());
            default -> {
                String[] parts = word.split("x");
                long sequence = Long.parseLong(parts[0]);
                if (parts.length == 1) {
                    assertThat(resultName(reserve(sequence, queue, claim))).isEqualTo("Accepted");
                } else {
                    end(sequence, parts[1]);
                }
            }
        }
    }

    private void end(long sequence, String end) {
        Optional<StoredAnswer> answer =
                switch (end) {
                    case "ANSWER" -> Optional.of(new StoredAnswer(200, "text/plain", new byte[9]));
                    case "LONG" -> Optional.of(new StoredAnswer(200, "text/plain", new byte[9999]));
                    default -> Optional.empty();
                };
        ExecutionOutcome outcome =
                answer.isPresent() ? ExecutionOutcome.RAN : ExecutionOutcome.valueOf(end);
        state.apply(new ReleaseSlot(TestCell.attempt(sequence), outcome, answer));
    }

    /** Runs a script of the same words and then registers the first incarnation again. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "1 forget-i1                       | 0 | STALE_EPOCH:NOT_RUN",
                "1 forget-i1 forget-i1             | 0 | STALE_EPOCH:NOT_RUN",
                "1 forget-i1 snapshot              | 0 | STALE_EPOCH:NOT_RUN",
                "1 forget-i1 register-i2           | 0 | STALE_EPOCH:NOT_RUN",
                "1 forget-i1 register-i2 remove-i2 | 0 | STALE_EPOCH:NOT_RUN",
                "1 forget-i0                       | 1 | Accepted",
                "1 remove-i1                       | 1 | Accepted",
                "1 1xRAN remove-i1                 | 0 | Accepted",
            })
    void removedIncarnationReleasesItsAttemptsAndCannotRegisterAgain(
            String script, int running, String expected) {
        register("i1", 8);
        Arrays.stream(script.split(" ")).forEach(word -> runScriptWord(word, "checks", "k:r"));

        assertThat(usage.total()).isEqualTo(running);
        assertThat(resultName(state.apply(new RegisterEndpoint(TestCell.endpoint("e1", "i1", 8)))))
                .isEqualTo(expected);
    }

    @Test
    void slotsAndLimitsAreNeverExceeded() {
        register("i1", 2);
        assertThat(resultName(reserve("hakata", 1, SlotKind.REQUEST))).isEqualTo("Accepted");
        assertThat(resultName(reserve("hakata", 2, SlotKind.REQUEST))).isEqualTo("Accepted");
        assertThat(resultName(reserve("hakata", 3, SlotKind.REQUEST))).startsWith("NO_ENDPOINT");
        assertThat(resultName(reserve("hakata", 4, SlotKind.FEED))).isEqualTo("Accepted");
        assertThat(resultName(reserve("hakata", 5, SlotKind.FEED))).isEqualTo("Accepted");
        assertThat(resultName(reserve("hakata", 6, SlotKind.FEED))).startsWith("NO_ENDPOINT");

        register("i2", 8);
        assertThat(usage.total()).isZero();
        for (int sequence = 11; sequence <= 15; sequence++) {
            assertThat(resultName(reserve("kyushu", sequence, SlotKind.REQUEST)))
                    .isEqualTo("Accepted");
        }
        assertThat(resultName(reserve("kyushu", 16, SlotKind.REQUEST))).startsWith("TEAM_AT_LIMIT");
        register("i2", 1);
        assertThat(resultName(reserve("hakata", 17, SlotKind.REQUEST))).startsWith("NO_ENDPOINT");
        assertThat(state.apply(new RemoveEndpoint(ENDPOINT, "i2")))
                .isInstanceOf(CommandResult.Rejected.class);
    }

    @Test
    void endedAttemptCannotBeReservedAgainAndReleasesItsSlotOnce() {
        register("i1", 8);
        reserve("hakata", 300_000, SlotKind.REQUEST);
        end(300_000, "RAN");
        end(300_000, "RAN");
        end(299_999, "NOT_RUN");
        state.restore(state.snapshot());

        assertThat(usage.total()).isZero();
        assertThat(resultName(reserve("hakata", 300_000, SlotKind.REQUEST)))
                .startsWith("STALE_EPOCH");
        assertThat(resultName(reserve("hakata", 299_999, SlotKind.REQUEST)))
                .startsWith("STALE_EPOCH");
        assertThat(resultName(reserve("hakata", 1, SlotKind.REQUEST))).startsWith("STALE_EPOCH");
        assertThat(resultName(reserve("hakata", 299_998, SlotKind.REQUEST))).isEqualTo("Accepted");
    }

    @Test
    void replacedIncarnationCannotRegisterAgain() {
        register("i1", 8);
        register("i2", 8);

        assertThat(resultName(state.apply(new RegisterEndpoint(TestCell.endpoint("e1", "i1", 8)))))
                .startsWith("STALE_EPOCH");
    }

    @Test
    void leavingEndpointAndWithdrawnKeyGetNoSlot() {
        register("i1", 8);
        configuration.withdrawKey("kyushu");
        assertThat(resultName(reserve("kyushu", 1, SlotKind.REQUEST))).startsWith("KEY_REFUSED");

        state.apply(new ChangeEndpointState(ENDPOINT, "i1", EndpointState.LEAVING));
        assertThat(resultName(reserve("hakata", 2, SlotKind.REQUEST))).startsWith("NO_ENDPOINT");
    }

    private void register(String incarnation, int slots) {
        state.apply(new RegisterEndpoint(TestCell.endpoint("e1", incarnation, slots)));
    }

    private CommandResult reserve(long sequence, String queue, String claim) {
        String[] digests = claim.split(":");
        return state.apply(
                command(
                        "hakata",
                        sequence,
                        new QueueName(queue),
                        SlotKind.REQUEST,
                        Optional.of(new IdempotencyClaim(digests[0], digests[1]))));
    }

    private CommandResult reserve(String team, long sequence, SlotKind kind) {
        return state.apply(
                command(team, sequence, TestConfiguration.queue(kind), kind, Optional.empty()));
    }

    private ReserveSlot command(
            String team,
            long sequence,
            QueueName queue,
            SlotKind kind,
            Optional<IdempotencyClaim> claim) {
        return new ReserveSlot(
                TestCell.attempt(sequence),
                queue,
                new TeamName(team),
                Optional.of(new KeyId(team)),
                ENDPOINT,
                state.endpoint(ENDPOINT).orElseThrow().description().incarnation(),
                kind,
                claim);
    }

    private static String resultName(CommandResult result) {
        if (result instanceof CommandResult.Rejected rejected) {
            return rejected.refusal().code() + ":" + rejected.refusal().outcome();
        }
        return result.getClass().getSimpleName();
    }
}
