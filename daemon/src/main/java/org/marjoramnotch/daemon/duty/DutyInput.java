package org.marjoramnotch.daemon.duty;

import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;
import org.jspecify.annotations.Nullable;

/**
 * Bounded ring that joins any number of threads to the one thread of a duty.
 *
 * @param <T> the type of the input
 */
public final class DutyInput<T> {
    private final MpscArrayQueue<T> ring;
    private final AtomicReference<@Nullable Thread> parked = new AtomicReference<>();

    /** Creates a ring that holds at least this many inputs. */
    public DutyInput(int capacity) {
        ring = new MpscArrayQueue<>(capacity);
    }

    /**
     * Hands an input to the duty and wakes it if it is idle.
     *
     * @return false if the ring is full, so that the input was not taken
     */
    public boolean offer(T input) {
        if (!ring.offer(input)) {
            return false;
        }
        wake();
        return true;
    }

    /** Makes an idle duty return from its wait and flush. */
    public void wake() {
        Thread idle = parked.getAndSet(null);
        if (idle != null) {
            LockSupport.unpark(idle);
        }
    }

    /** Waits on the duty's thread until there is an input or the time is over. */
    void await(long milliseconds) {
        parked.set(Thread.currentThread());
        if (ring.isEmpty() && milliseconds > 0) {
            LockSupport.parkNanos(this, milliseconds * 1_000_000L);
        }
        parked.set(null);
    }

    /** Hands at most this many inputs to the taker; returns how many. */
    int drain(Consumer<T> taker, int limit) {
        return ring.drain(taker::accept, limit);
    }
}
