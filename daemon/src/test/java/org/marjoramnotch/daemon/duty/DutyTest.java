package org.marjoramnotch.daemon.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Props;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.junit.jupiter.api.Test;

class DutyTest {
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

    @Test
    void inputReceivedAfterPauseWithinBatchGetsTimeAfterThePause() throws InterruptedException {
        PausingHandler handler = new PausingHandler();
        DutyInputQueue<String> input = new DutyInputQueue<>(16);
        input.offer("before the pause");
        input.offer("after the pause");
        ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "duty-test");
        try {
            system.systemActorOf(
                    Duty.create(
                            input,
                            handler,
                            handler.now::get,
                            1,
                            failure -> {
                                throw new AssertionError(failure);
                            }),
                    "duty",
                    Props.empty());
            assertThat(handler.bothReceived.await(10, TimeUnit.SECONDS)).isTrue();
        } finally {
            system.terminate();
        }
        assertThat(handler.times.get(1)).isGreaterThanOrEqualTo(1_000 + PAUSE_MILLISECONDS);
    }
}
