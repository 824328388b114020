package org.marjoramnotch.model.command;

import java.util.List;
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
 */
public record ChangeConfiguration(
        RequestId request, long expectedVersion, List<RuleSubject> removed, List<RuleLine> put)
        implements Command {}
