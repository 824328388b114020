package org.marjoramnotch.logic.ledger;

import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;

/** The state that the replicas of a cell agree on, changed by commands only. */
public final class Ledger {
    /** Returns the state of a snapshot. */
    public static Ledger restore(LedgerSnapshot snapshot) {
        return new Ledger();
    }

    /** Applies a command; the same on every replica. */
    public CommandResult apply(Command command) {
        throw new IllegalArgumentException("No part takes " + command.getClass().getSimpleName());
    }

    /** Returns the whole state. */
    public LedgerSnapshot snapshot() {
        return new LedgerSnapshot();
    }

    /** Returns the version of the rules in force. */
    public long configurationVersion() {
        return 0;
    }

    /** Returns the number of registered endpoints. */
    public int endpointCount() {
        return 0;
    }

    /** Returns the number of registered workers. */
    public int workerCount() {
        return 0;
    }

    /** Returns the number of attempts and tasks that run. */
    public int runningCount() {
        return 0;
    }
}
