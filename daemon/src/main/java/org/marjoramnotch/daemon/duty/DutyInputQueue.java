package org.marjoramnotch.daemon.duty;

import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.jctools.queues.MpscArrayQueue;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.time.Clock;

/**
 * Bounded queue that passes input from any number of threads to the single thread of a duty.
 *
 * @param <T> the type of the input
 */
public final class DutyInputQueue<T> {
    /** The input whose delay is currently measured. */
    private record MeasuredInput<T>(T input, long arrivedAtMilliseconds) {}

    private final MpscArrayQueue<T> queue;
    private final AtomicReference<@Nullable MeasuredInput<T>> measured = new AtomicReference<>();
    private final Clock clock;
    private final @Nullable LongConsumer delayListener;
    private final AtomicReference<@Nullable Thread> parkedThread = new AtomicReference<>();

    /** Creates a queue for at least this many inputs, without measuring their delay. */
    public DutyInputQueue(int capacity) {
        this(capacity, () -> 0, null);
    }

    /**
     * Creates a queue for at least this many inputs.
     *
     * @param delayListener receives the delay of one input at a time, in milliseconds from its
     *     arrival to its handling; null to measure no delays
     */
    public DutyInputQueue(int capacity, Clock clock, @Nullable LongConsumer delayListener) {
        this.queue = new MpscArrayQueue<>(capacity);
        this.clock = clock;
        this.delayListener = delayListener;
    }

    /**
     * Adds an input and wakes the duty if it is idle.
     *
     * @return false if the queue is full and the input was not added
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

    /** Makes an idle duty end its wait and flush. */
    public void wake() {
        Thread idle = parkedThread.getAndSet(null);
        if (idle != null) {
            LockSupport.unpark(idle);
        }
    }

    /** Waits on the duty's thread until there is input or the time has elapsed. */
    void await(long milliseconds) {
        parkedThread.set(Thread.currentThread());
        if (queue.isEmpty() && milliseconds > 0) {
            LockSupport.parkNanos(this, milliseconds * 1_000_000L);
        }
        parkedThread.set(null);
    }

    /** Passes at most {@code limit} inputs to the consumer and returns their number. */
    int drain(Consumer<T> consumer, int limit) {
        return queue.drain(
                input -> {
                    reportDelay(input);
                    consumer.accept(input);
                },
                limit);
    }

    private void beginMeasurement(T input) {
        if (delayListener != null && measured.get() == null) {
            measured.compareAndSet(null, new MeasuredInput<>(input, clock.nowMilliseconds()));
        }
    }

    private void reportDelay(T input) {
        MeasuredInput<T> handled = endMeasurement(input);
        if (handled != null && delayListener != null) {
            delayListener.accept(clock.nowMilliseconds() - handled.arrivedAtMilliseconds());
        }
    }

    /** Ends the measurement if it is about this input. */
    private @Nullable MeasuredInput<T> endMeasurement(T input) {
        MeasuredInput<T> current = measured.get();
        if (current == null || current.input() != input) {
            return null;
        }
        measured.set(null);
        return current;
    }
}
