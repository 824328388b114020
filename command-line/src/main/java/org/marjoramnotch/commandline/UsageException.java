package org.marjoramnotch.commandline;

import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/** Thrown if the command line is invalid. */
public final class UsageException extends MarjoramnotchException {
    private static final long serialVersionUID = 1L;

    /** Creates an error whose message names the remedy. */
    public UsageException(String message) {
        super(ErrorCode.INVALID_REQUEST, message);
    }
}
