package org.marjoramnotch.logic.entry;

import org.marjoramnotch.model.identifier.AttemptId;

/** Generates unique identifiers for the attempts of one entry process. */
@FunctionalInterface
public interface AttemptIdGenerator {
    /** Returns an identifier that has not been used before. */
    AttemptId next();
}
