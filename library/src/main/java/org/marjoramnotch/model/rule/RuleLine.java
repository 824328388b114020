package org.marjoramnotch.model.rule;

import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/**
 * A rule with the comment that says who asked for it.
 *
 * @param rule the rule
 * @param requestedBy the comment, one line, not blank
 */
public record RuleLine(Rule rule, String requestedBy) {
    /**
     * Removes spaces around the comment.
     *
     * @throws MarjoramnotchException with {@code INVALID_RULES} if it is blank or not one line
     */
    public RuleLine {
        requestedBy = requestedBy.strip();
        if (requestedBy.isEmpty()) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_RULES,
                    "the comment is missing; add '# who asked for it' at the end.");
        }
        if (requestedBy.chars().anyMatch(Character::isISOControl)) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_RULES,
                    "the comment has a line end or control character; remove it.");
        }
    }
}
