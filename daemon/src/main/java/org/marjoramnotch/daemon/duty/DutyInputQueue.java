package org.marjoramnotch.daemon.duty;

import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.jctools.queues.MpscArrayQueue;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.time.Clock;

/**
 * Bounded ring that joins any number of threads to the one thread of a duty.
 *
 * @param <T> the type of the input
 */
public final class DutyInputQueue<T> {
    /** The one input whose delay is being measured. */
    private record Measured<T>(T input, long arrivedAtMilliseconds) {}

    private final MpscArrayQueue<T> queue;
    private final AtomicReference<@Nullable Measured<T>> measured = new AtomicReference<>();
    private final Clock clock;
    private final @Nullable LongConsumer delayListener;
    private final AtomicReference<@Nullable Thread> parkedThread = new AtomicReference<>();

    /** Creates a ring that holds at least this many inputs and that nothing measures. */
    public DutyInputQueue(int capacity) {
        this(capacity, () -> 0, null);
    }

    /**
     * Creates a ring that holds at least this many inputs.
     *
     * @param delays is given the delay of one input at a time, in milliseconds from its arrival to
     *     its handling; null to measure nothing
     */
    public DutyInputQueue(int capacity, Clock clock, @Nullable LongConsumer delays) {
        this.queue = new MpscArrayQueue<>(capacity);
        this.clock = clock;
        this.delayListener = delays;
    }

    /**
     * Hands an input to the duty and wakes it if it is idle.
     *
     * @return false if the ring is full, so that the input was not taken
     */
    public boolean offer(T input) {
        beginMeasurement(input);
        if (!queue.offer(input)) {
            endMeasurement(input);
            return false;
        }
        wake();
        return true;
    }

    /** Makes an idle duty return from its wait and flush. */
    public void wake() {
        Thread idle = parkedThread.getAndSet(null);
        if (idle != null) {
            LockSupport.unpark(idle);
        }
    }

    /** Waits on the duty's thread until there is an input or the time is over. */
    void await(long milliseconds) {
        parkedThread.set(Thread.currentThread());
        if (queue.isEmpty() && milliseconds > 0) {
            LockSupport.parkNanos(this, milliseconds * 1_000_000L);
        }
        parkedThread.set(null);
    }

    /** Hands at most this many inputs to the taker; returns how many. */
    int drain(Consumer<T> taker, int limit) {
        return queue.drain(
                input -> {
                    reportDelay(input);
                    taker.accept(input);
                },
                limit);
    }

    private void beginMeasurement(T input) {
        if (delayListener != null && measured.get() == null) {
            measured.compareAndSet(null, new Measured<>(input, clock.nowMilliseconds()));
        }
    }

    private void reportDelay(T input) {
        Measured<T> settled = endMeasurement(input);
        if (settled != null && delayListener != null) {
            delayListener.accept(clock.nowMilliseconds() - settled.arrivedAtMilliseconds());
        }
    }

    /** Ends the measurement of an input, if it is the measured one. */
    private @Nullable Measured<T> endMeasurement(T input) {
        Measured<T> current = measured.get();
        if (current == null || current.input() != input) {
            return null;
        }
        measured.set(null);
        return current;
    }
}
