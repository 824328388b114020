package org.marjoramnotch.commandline.client;

import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.error.Refusal;

/**
 * Thrown if no daemon gave a complete answer; the refusal says whether the request may have taken
 * effect.
 */
public final class UnreachableException extends MarjoramnotchException {
    private static final long serialVersionUID = 1L;

    /** Creates an error that carries the refusal. */
    public UnreachableException(Refusal refusal) {
        super(refusal);
    }
}
