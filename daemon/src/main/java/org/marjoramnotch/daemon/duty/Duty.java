package org.marjoramnotch.daemon.duty;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.time.Clock;

/**
 * Handles input on a thread of its own. It waits for input on its bounded queue, so that an idle
 * duty wakes up only once per tick.
 *
 * @param <T> the type of the input
 */
public final class Duty<T> {
    private static final int MAXIMUM_BATCH_SIZE = 1024;

    /**
     * Time after which a batch takes no further input: half of the shortest interval between
     * heartbeats, which are sent at the end of a batch.
     */
    private static final long MAXIMUM_BATCH_MILLISECONDS = 50;

    /** Number of inputs after which the duration of the batch is checked. */
    private static final int INPUTS_BETWEEN_CHECKS = 8;

    private final DutyInputQueue<T> input;
    private final DutyHandler<T> handler;
    private final Clock clock;
    private final long tickMilliseconds;
    private final Consumer<Throwable> failureHandler;
    private long nextTickMilliseconds;
    private @Nullable Thread thread;
    private volatile boolean stopped;

    /**
     * Creates a duty.
     *
     * @param failureHandler receives an exception thrown by the handler; the duty then stops
     */
    public Duty(
            DutyInputQueue<T> input,
            DutyHandler<T> handler,
            Clock clock,
            long tickMilliseconds,
            Consumer<Throwable> failureHandler) {
        this.input = input;
        this.handler = handler;
        this.clock = clock;
        this.tickMilliseconds = tickMilliseconds;
        this.failureHandler = failureHandler;
        this.nextTickMilliseconds = clock.nowMilliseconds();
    }

    /** Starts the thread; to be called once. */
    public synchronized void start(String name) {
        Thread started = new Thread(this::run, name);
        started.setDaemon(true);
        thread = started;
        started.start();
    }

    /** Stops the thread and waits for the end of its present batch, at most for the given time. */
    public synchronized void stop(long timeoutMilliseconds) {
        stopped = true;
        input.wake();
        Thread running = thread;
        if (running == null) {
            return;
        }
        try {
            running.join(Math.max(1, timeoutMilliseconds));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            while (!stopped) {
                runOnce();
            }
        } catch (RuntimeException | Error thrown) {
            failureHandler.accept(thrown);
        }
    }

    /** Waits for input or the next tick, then ticks if due and handles one batch of input. */
    private void runOnce() {
        long now = clock.nowMilliseconds();
        if (now < nextTickMilliseconds && !handler.hasPendingWork()) {
            input.await(nextTickMilliseconds - now);
            now = clock.nowMilliseconds();
        }
        if (now >= nextTickMilliseconds) {
            handler.tick(now);
            nextTickMilliseconds = now + tickMilliseconds;
        }
        handleInput();
        handler.flush(now);
    }

    /**
     * Handles the available input, bounded in number and time. The clock is read for each input,
     * because the process may be paused within a batch. With a time from before the pause, a leader
     * whose lease has since expired would still answer requests that arrived after the pause.
     */
    private void handleInput() {
        long end = clock.nowMilliseconds() + MAXIMUM_BATCH_MILLISECONDS;
        int total = 0;
        int handled;
        do {
            handled =
                    input.drain(
                            value -> handler.receive(clock.nowMilliseconds(), value),
                            INPUTS_BETWEEN_CHECKS);
            total += handled;
        } while (handled == INPUTS_BETWEEN_CHECKS
                && total < MAXIMUM_BATCH_SIZE
                && clock.nowMilliseconds() < end);
    }
}
