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

    /** Notes at which time each input was taken; the process seems to pause during the first. */
    private static final class PausingHandler implements DutyHandler<String> {
        final AtomicLong now = new AtomicLong(1_000);
        final List<Long> times = new ArrayList<>();
        final CountDownLatch bothTaken = new CountDownLatch(2);

        @Override
        public void receive(long nowMilliseconds, String input) {
            times.add(nowMilliseconds);
            now.addAndGet(PAUSE_MILLISECONDS);
            bothTaken.countDown();
        }

        @Override
        public void flush(long nowMilliseconds) {}

        @Override
        public void tick(long nowMilliseconds) {}
    }

    @Test
    void inputAfterPauseWithinBatchGetsTheTimeAfterThePause() throws InterruptedException {
        PausingHandler work = new PausingHandler();
        DutyInputQueue<String> input = new DutyInputQueue<>(16);
        input.offer("before the pause");
        input.offer("after the pause");
        ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "duty-test");
        try {
            system.systemActorOf(
                    Duty.create(
                            input,
                            work,
                            work.now::get,
                            1,
                            failure -> {
                                throw new AssertionError(failure);
                            }),
                    "duty",
                    Props.empty());
            assertThat(work.bothTaken.await(10, TimeUnit.SECONDS)).isTrue();
        } finally {
            system.terminate();
        }
        assertThat(work.times.get(1)).isGreaterThanOrEqualTo(1_000 + PAUSE_MILLISECONDS);
    }
}
