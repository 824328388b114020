package org.marjoramnotch.model.message;

import org.marjoramnotch.model.identifier.RequestId;

/**
 * Replaces the rules by those of a text.
 *
 * @param request tells a resend from a new change
 * @param expectedVersion the version that the text is based on
 * @param text one line per rule
 */
public record ApplyRules(RequestId request, long expectedVersion, String text)
        implements CellRequest {}
