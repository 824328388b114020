package org.marjoramnotch.logic.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.endpoint.ClaimRecord;
import org.marjoramnotch.model.endpoint.ClaimState;
import org.marjoramnotch.model.endpoint.IdempotencyClaim;
import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.Repetition;

/**
 * Records which request of a team claimed which idempotency key and how that request ended.
 *
 * <p>A claim whose request was not run is dropped, so that the key can be claimed again. Answers
 * are kept up to a total of {@link #MAXIMUM_STORED_ANSWER_BYTES}; beyond that the oldest answers
 * are dropped first.
 */
final class IdempotencyClaims {
    static final int MAXIMUM_STORED_ANSWER_BYTES = 16 * 1024 * 1024;

    private final Map<ClaimKey, ClaimRecord> running = new HashMap<>();
    private final LinkedHashMap<ClaimKey, ClaimRecord> ended = new LinkedHashMap<>();
    private final LinkedHashSet<ClaimKey> withAnswer = new LinkedHashSet<>();
    private int answerBytes;

    private record ClaimKey(TeamName team, String keyDigest) {}

    /** Returns the number of stored claims of ended requests. */
    int endedCount() {
        return ended.size();
    }

    /**
     * Returns the result to answer instead of running a request with this claim, or empty if the
     * request may run.
     */
    Optional<CommandResult> findConflict(
            TeamName team, IdempotencyClaim claim, Repetition repetition) {
        ClaimKey key = new ClaimKey(team, claim.keyDigest());
        ClaimRecord existing = running.getOrDefault(key, ended.get(key));
        if (existing == null) {
            return Optional.empty();
        }
        if (!existing.claim().requestDigest().equals(claim.requestDigest())) {
            return Optional.of(
                    rejected(
                            ErrorCode.IDEMPOTENCY_KEY_REUSED,
                            ExecutionOutcome.NOT_RUN,
                            "The idempotency key was used for another request; use a new key."));
        }
        return switch (existing.state()) {
            case RUNNING ->
                    Optional.of(
                            rejected(
                                    ErrorCode.IDEMPOTENT_REQUEST_RUNNING,
                                    ExecutionOutcome.UNKNOWN,
                                    "The first request with this idempotency key has not ended;"
                                            + " resend it later."));
            case RAN -> Optional.of(resultOfRun(existing));
            case UNKNOWN -> conflictWithPossibleRun(repetition);
        };
    }

    private static CommandResult resultOfRun(ClaimRecord existing) {
        return existing.answer()
                .<CommandResult>map(CommandResult.AnsweredBefore::new)
                .orElseGet(
                        () ->
                                rejected(
                                        ErrorCode.ANSWER_NOT_KEPT,
                                        ExecutionOutcome.RAN,
                                        "The request ran but its answer was not stored; check"
                                                + " its effect instead of resending it."));
    }

    private static Optional<CommandResult> conflictWithPossibleRun(Repetition repetition) {
        if (repetition == Repetition.IDEMPOTENT) {
            return Optional.empty();
        }
        return Optional.of(
                rejected(
                        ErrorCode.ENDPOINT_ANSWER_LOST,
                        ExecutionOutcome.UNKNOWN,
                        "The first request with this idempotency key may have run; check its effect"
                                + " before using a new key."));
    }

    private static CommandResult.Rejected rejected(
            ErrorCode code, ExecutionOutcome outcome, String message) {
        return new CommandResult.Rejected(new Refusal(code, outcome, message));
    }

    /** Records the claim of a request that starts; {@link #findConflict} must have found none. */
    void start(TeamName team, IdempotencyClaim claim, AttemptId attempt) {
        ClaimKey key = new ClaimKey(team, claim.keyDigest());
        ended.remove(key);
        ClaimRecord before =
                running.put(
                        key,
                        new ClaimRecord(
                                team, claim, attempt, ClaimState.RUNNING, Optional.empty()));
        Invariant.check(before == null, "Two attempts are open for the same idempotency key");
    }

    /** Records how the request of a claim ended. */
    void end(
            TeamName team,
            IdempotencyClaim claim,
            AttemptId attempt,
            ExecutionOutcome outcome,
            Optional<StoredAnswer> answer) {
        ClaimKey key = new ClaimKey(team, claim.keyDigest());
        ClaimRecord record = running.remove(key);
        Invariant.check(
                record != null && record.attempt().equals(attempt),
                "An attempt ends whose idempotency claim is not recorded");
        if (outcome == ExecutionOutcome.RAN) {
            storeEnded(key, claim, attempt, ClaimState.RAN, answer);
        } else if (outcome == ExecutionOutcome.UNKNOWN) {
            storeEnded(key, claim, attempt, ClaimState.UNKNOWN, Optional.empty());
        }
    }

    private void storeEnded(
            ClaimKey key,
            IdempotencyClaim claim,
            AttemptId attempt,
            ClaimState state,
            Optional<StoredAnswer> answer) {
        Optional<StoredAnswer> kept =
                answer.filter(stored -> stored.body().length <= StoredAnswer.MAXIMUM_BODY_BYTES);
        putEnded(key, new ClaimRecord(key.team(), claim, attempt, state, kept));
        while (answerBytes > MAXIMUM_STORED_ANSWER_BYTES) {
            dropOldestAnswer();
        }
    }

    private void putEnded(ClaimKey key, ClaimRecord record) {
        ended.put(key, record);
        record.answer()
                .ifPresent(
                        answer -> {
                            withAnswer.add(key);
                            answerBytes += answer.body().length;
                        });
    }

    private void dropOldestAnswer() {
        ClaimKey key = withAnswer.iterator().next();
        ClaimRecord record = ended.get(key);
        dropAnswer(key, record);
        ended.replace(
                key,
                new ClaimRecord(
                        record.team(),
                        record.claim(),
                        record.attempt(),
                        record.state(),
                        Optional.empty()));
    }

    private void dropAnswer(ClaimKey key, ClaimRecord record) {
        if (withAnswer.remove(key)) {
            answerBytes -= record.answer().orElseThrow().body().length;
        }
    }

    /** Drops the oldest claims of ended requests. */
    void dropOldest(int count) {
        Iterator<Map.Entry<ClaimKey, ClaimRecord>> oldest = ended.entrySet().iterator();
        for (int forgotten = 0; forgotten < count && oldest.hasNext(); forgotten++) {
            Map.Entry<ClaimKey, ClaimRecord> entry = oldest.next();
            dropAnswer(entry.getKey(), entry.getValue());
            oldest.remove();
        }
    }

    List<ClaimRecord> snapshot() {
        List<ClaimRecord> all = new ArrayList<>(running.values());
        all.addAll(ended.values());
        return all;
    }

    void restore(List<ClaimRecord> all) {
        running.clear();
        ended.clear();
        withAnswer.clear();
        answerBytes = 0;
        for (ClaimRecord record : all) {
            ClaimKey key = new ClaimKey(record.team(), record.claim().keyDigest());
            if (record.state() == ClaimState.RUNNING) {
                running.put(key, record);
            } else {
                putEnded(key, record);
            }
        }
    }
}
