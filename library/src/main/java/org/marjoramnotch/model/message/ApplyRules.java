package org.marjoramnotch.model.message;

import org.marjoramnotch.model.identifier.RequestId;

/**
 * Replaces the rules.
 *
 * @param request distinguishes a resend from a new change
 * @param expectedVersion the version of the rules on which the new text is based
 * @param text the new rules, one per line
 */
public record ApplyRules(RequestId request, long expectedVersion, String text)
        implements CellRequest {}
