package org.marjoramnotch.model.error;

/** An error that carries a {@link Refusal}; its message names the remedy. */
public class MarjoramnotchException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Refusal refusal;

    /** Creates an error for work that was not started. */
    public MarjoramnotchException(ErrorCode code, String message) {
        this(Refusal.notRun(code, message));
    }

    /** Creates an error that carries a refusal. */
    public MarjoramnotchException(Refusal refusal) {
        super(refusal.message());
        this.refusal = refusal;
    }

    /** Returns the kind of the error. */
    public ErrorCode code() {
        return refusal.code();
    }

    /** Returns the refusal to send to the caller. */
    public Refusal refusal() {
        return refusal;
    }
}
