package org.marjoramnotch.daemon.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class DutyTest {
    private static final long STOP_MILLISECONDS = 5_000;
    private static final long PAUSE_MILLISECONDS = 7_000;

    /**
     * Records the time given with each input; the clock jumps after each, as in a process pause.
     */
    private static final class PausingHandler implements DutyHandler<String> {
        final AtomicLong now = new AtomicLong(1_000);
        final List<Long> times = new ArrayList<>();
        final CountDownLatch bothReceived = new CountDownLatch(2);

        @Override
        public void receive(long nowMilliseconds, String input) {
            times.add(nowMilliseconds);
            now.addAndGet(PAUSE_MILLISECONDS);
            bothReceived.countDown();
        }

        @Override
        public void flush(long nowMilliseconds) {}

        @Override
        public void tick(long nowMilliseconds) {}
    }

    /** Has work left until a number of batches were flushed, and no input. */
    private static final class BusyHandler implements DutyHandler<String> {
        static final int BATCHES = 100;
        final CountDownLatch remaining = new CountDownLatch(BATCHES);

        @Override
        public void receive(long nowMilliseconds, String input) {}

        @Override
        public void flush(long nowMilliseconds) {
            remaining.countDown();
        }

        @Override
        public void tick(long nowMilliseconds) {}

        @Override
        public boolean hasPendingWork() {
            return remaining.getCount() > 0;
        }
    }

    @Test
    void pendingWorkDoesNotWaitForInputOrTheNextTick() throws InterruptedException {
        BusyHandler handler = new BusyHandler();
        DutyInputQueue<String> input = new DutyInputQueue<>(16);
        AtomicLong now = new AtomicLong(1_000);
        Duty<String> duty =
                new Duty<>(
                        input,
                        handler,
                        now::get,
                        TimeUnit.HOURS.toMillis(1),
                        failure -> {
                            throw new AssertionError(failure);
                        });
        try {
            duty.start("duty-test");
            assertThat(handler.remaining.await(10, TimeUnit.SECONDS)).isTrue();
        } finally {
            duty.stop(STOP_MILLISECONDS);
        }
    }

    @Test
    void inputReceivedAfterPauseWithinBatchGetsTimeAfterThePause() throws InterruptedException {
        PausingHandler handler = new PausingHandler();
        DutyInputQueue<String> input = new DutyInputQueue<>(16);
        input.offer("before the pause");
        input.offer("after the pause");
        Duty<String> duty =
                new Duty<>(
                        input,
                        handler,
                        handler.now::get,
                        1,
                        failure -> {
                            throw new AssertionError(failure);
                        });
        try {
            duty.start("duty-test");
            assertThat(handler.bothReceived.await(10, TimeUnit.SECONDS)).isTrue();
        } finally {
            duty.stop(STOP_MILLISECONDS);
        }
        assertThat(handler.times.get(1)).isGreaterThanOrEqualTo(1_000 + PAUSE_MILLISECONDS);
    }

    /** Each input takes some time; a flush ends the batch. */
    private static final class SlowHandler implements DutyHandler<String> {
        static final long INPUT_MILLISECONDS = 10;
        static final int INPUTS = 100;
        final AtomicLong now = new AtomicLong(1_000);
        final CountDownLatch remaining = new CountDownLatch(INPUTS);
        final AtomicLong longestBatch = new AtomicLong();
        private long begunAt = now.get();

        @Override
        public void receive(long nowMilliseconds, String input) {
            now.addAndGet(INPUT_MILLISECONDS);
            remaining.countDown();
        }

        @Override
        public void flush(long nowMilliseconds) {
            longestBatch.accumulateAndGet(now.get() - begunAt, Math::max);
            begunAt = now.get();
        }

        @Override
        public void tick(long nowMilliseconds) {}
    }

    /** Guards against a leader whose heartbeats wait until all inputs of a rush are handled. */
    @Test
    void batchOfSlowInputsEndsAfterShortTime() throws InterruptedException {
        SlowHandler handler = new SlowHandler();
        DutyInputQueue<String> input = new DutyInputQueue<>(128);
        for (int number = 0; number < SlowHandler.INPUTS; number++) {
            input.offer("input " + number);
        }
        Duty<String> duty =
                new Duty<>(
                        input,
                        handler,
                        handler.now::get,
                        1,
                        failure -> {
                            throw new AssertionError(failure);
                        });
        try {
            duty.start("duty-test");
            assertThat(handler.remaining.await(10, TimeUnit.SECONDS)).isTrue();
        } finally {
            duty.stop(STOP_MILLISECONDS);
        }
        assertThat(handler.longestBatch.get()).isLessThan(150);
    }
}
