package org.marjoramnotch.model.command;

import java.util.List;
import org.apache.commons.codec.digest.DigestUtils;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.model.rule.RuleSubject;

/**
 * Changes the rules if their version is still the expected one; answers a resend as the first time.
 *
 * @param request tells a resend from a new change
 * @param expectedVersion the version that the change is based on
 * @param removed subjects whose rules are removed
 * @param put lines that are added or replace those of the same subject
 * @param contentSha256 SHA-256 of what was asked, hexadecimal; a resend has the same one even when
 *     it arrives after later changes
 */
public record ChangeConfiguration(
        RequestId request,
        long expectedVersion,
        List<RuleSubject> removed,
        List<RuleLine> put,
        String contentSha256)
        implements Command {
    /** Creates a change that was not made from a text; its content is its own digest. */
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
