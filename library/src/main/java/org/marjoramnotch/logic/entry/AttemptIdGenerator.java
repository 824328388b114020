package org.marjoramnotch.logic.entry;

import org.marjoramnotch.model.identifier.AttemptId;

/** Draws the names of new attempts of one entry process; never the same twice. */
@FunctionalInterface
public interface AttemptIdGenerator {
    /** Returns a name that was not used before. */
    AttemptId next();
}
