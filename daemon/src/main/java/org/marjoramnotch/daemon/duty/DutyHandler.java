package org.marjoramnotch.daemon.duty;

/**
 * What a duty does with its input. All calls come from the duty's one thread.
 *
 * @param <T> the type of the input
 */
public interface DutyHandler<T> {
    /** Takes one input. */
    void receive(long nowMilliseconds, T input);

    /** Ends a batch of inputs or a tick; effects leave here. */
    void flush(long nowMilliseconds);

    /** Advances time; called once in each tick interval of the duty. */
    void tick(long nowMilliseconds);
}
