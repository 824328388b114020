package org.marjoramnotch.model.rule;

import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/**
 * A rule with the comment that names who requested it.
 *
 * @param rule the rule
 * @param requestedBy the comment; a single line that is not blank
 */
public record RuleLine(Rule rule, String requestedBy) {
    /**
     * Strips whitespace around the comment.
     *
     * @throws MarjoramnotchException with {@code INVALID_RULES} if the comment is blank or contains
     *     a line break or another control character
     */
    public RuleLine {
        requestedBy = requestedBy.strip();
        if (requestedBy.isEmpty()) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_RULES,
                    "the comment is missing; add '# who requested it' at the end.");
        }
        if (requestedBy.chars().anyMatch(Character::isISOControl)) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_RULES,
                    "the comment contains a line break or control character; remove it.");
        }
    }
}
