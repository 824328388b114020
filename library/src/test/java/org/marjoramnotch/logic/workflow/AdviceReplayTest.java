package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class AdviceReplayTest {
    /** The longest time until the duty sees a change that only time brings. */
    private static final long SCHEDULE_INTERVAL_MILLISECONDS = 150;

    @Test
    void stepsStartAfterOneShortQuestionDuringRush() {
        AdviceReplay replay = new AdviceReplay(17, 1);
        List<String> lines = replay.run();
        lines.forEach(System.out::println);

        assertThat(replay.refusedTickets()).isZero();
        // The latency objective counts one question about 30 workers for each step.
        assertThat(replay.firstStart("PERMIT", 0.5)).isLessThanOrEqualTo(call(20, 0.28, 30));
        assertThat(replay.firstStart("BUNDLE", 0.5)).isLessThanOrEqualTo(call(390, 5.6, 30));
        // Of a standing step, each of twenty tasks needs a worker of its own, granted by 0.35.
        assertThat(replay.firstStart("WATCH", 0.5)).isLessThanOrEqualTo(call(450, 6.5, 57));
    }

    private static long call(double decision, double perWorker, int workers) {
        return (long) (decision + perWorker * workers) + SCHEDULE_INTERVAL_MILLISECONDS;
    }
}
