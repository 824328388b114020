package org.marjoramnotch.model.command;

import java.util.List;
import org.apache.commons.codec.digest.DigestUtils;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.model.rule.RuleSubject;

/**
 * Changes the rules if they still have the expected version; a resent change gets the answer of the
 * first one.
 *
 * @param request the identifier that distinguishes a resend from a new change
 * @param expectedVersion the version that the change is based on
 * @param removed subjects whose rules are removed
 * @param put lines that are added or replace those of the same subject
 * @param contentSha256 hexadecimal SHA-256 digest of the requested content; it is the same for a
 *     resend, even one that arrives after later changes
 */
public record ChangeConfiguration(
        RequestId request,
        long expectedVersion,
        List<RuleSubject> removed,
        List<RuleLine> put,
        String contentSha256)
        implements Command {
    /**
     * Creates a change that was not made from a rules text; the digest is computed from its
     * components.
     */
    public ChangeConfiguration(
            RequestId request,
            long expectedVersion,
            List<RuleSubject> removed,
            List<RuleLine> put) {
        this(
                request,
                expectedVersion,
                removed,
                put,
                DigestUtils.sha256Hex(expectedVersion + "\n" + removed + "\n" + put));
    }
}
