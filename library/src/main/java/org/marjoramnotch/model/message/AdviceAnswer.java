package org.marjoramnotch.model.message;

import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.identifier.WorkerId;

/**
 * What the placement advisor said of a step.
 *
 * @param question the number of the question
 * @param granted tickets by worker; empty if the advisor could not be asked
 * @param validMilliseconds how long the tickets hold
 */
public record AdviceAnswer(
        long question, Optional<Map<WorkerId, String>> granted, long validMilliseconds) {}
