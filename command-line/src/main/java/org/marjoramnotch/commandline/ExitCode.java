package org.marjoramnotch.commandline;

/** Exit codes of the program. */
public enum ExitCode {
    /** The command took effect. */
    SUCCESS(0),
    /** The command was refused and took no effect. */
    REFUSED(1),
    /** The command line is invalid; no request was sent. */
    USAGE(2),
    /** No daemon was reached, or it is not known whether the command took effect. */
    UNKNOWN(3);

    private final int status;

    ExitCode(int status) {
        this.status = status;
    }

    /** Returns the exit status of the process. */
    public int status() {
        return status;
    }
}
