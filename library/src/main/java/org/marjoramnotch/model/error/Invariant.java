package org.marjoramnotch.model.error;

/** Asserts what must always hold; always on. A breach stops the process before any effect. */
public final class Invariant {
    private Invariant() {}

    /** Throws {@link ErrorCode#INVARIANT_VIOLATED} unless the condition holds. */
    public static void check(boolean holds, String what) {
        if (!holds) {
            throw new MarjoramnotchException(
                    ErrorCode.INVARIANT_VIOLATED,
                    what + "; stop this process, keep its data folder and report the fault.");
        }
    }
}
