package org.marjoramnotch.daemon.duty;

/**
 * Handles the input of a duty. All calls come from the single thread of the duty.
 *
 * @param <T> the type of the input
 */
public interface DutyHandler<T> {
    /** Handles one input. */
    void receive(long nowMilliseconds, T input);

    /** Ends a batch of inputs or a tick and sends its effects. */
    void flush(long nowMilliseconds);

    /** Advances the time; called once in each tick interval of the duty. */
    void tick(long nowMilliseconds);

    /** Returns whether the next batch must begin at once, without waiting for input. */
    default boolean hasPendingWork() {
        return false;
    }
}
