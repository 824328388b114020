package org.marjoramnotch.model.message;

import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.identifier.WorkerId;

/**
 * The answer of the placement advisor about a step.
 *
 * @param question number of the question
 * @param granted tickets by worker; empty if the advisor could not be queried
 * @param validMilliseconds time for which the tickets are valid
 */
public record AdviceAnswer(
        long question, Optional<Map<WorkerId, String>> granted, long validMilliseconds) {}
