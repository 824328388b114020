package org.marjoramnotch.model.error;

/**
 * Checks invariants. The checks are always enabled; a violation stops the process before anything
 * that follows from it takes effect.
 */
public final class Invariant {
    private Invariant() {}

    /**
     * Checks that a condition holds.
     *
     * @throws MarjoramnotchException with {@link ErrorCode#INVARIANT_VIOLATED} if it does not
     */
    public static void check(boolean holds, String what) {
        if (!holds) {
            throw new MarjoramnotchException(
                    ErrorCode.INVARIANT_VIOLATED,
                    what + "; stop this process, keep its data folder and report the fault.");
        }
    }
}
