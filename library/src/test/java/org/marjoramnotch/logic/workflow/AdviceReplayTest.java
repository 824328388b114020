package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class AdviceReplayTest {
    /** Interval of the duty's periodic scheduling rounds. */
    private static final long SCHEDULE_INTERVAL_MILLISECONDS = 150;

    @Test
    void stepsStartAfterOneShortQuestionDuringPeakLoad() {
        AdviceReplay replay = new AdviceReplay(17, 1);
        List<String> lines = replay.run();
        lines.forEach(System.out::println);

        assertThat(replay.refusedTickets()).isZero();
        // The latency objective allows for one question about 30 workers for each step.
        assertThat(replay.firstStart("PERMIT", 0.5))
                .isLessThanOrEqualTo(maximumWaitMilliseconds(20, 0.28, 30));
        assertThat(replay.firstStart("BUNDLE", 0.5))
                .isLessThanOrEqualTo(maximumWaitMilliseconds(390, 5.6, 30));
        // Each of the 20 tasks of a standing step needs its own worker, and 0.35 of the workers are
        // granted.
        assertThat(replay.firstStart("WATCH", 0.5))
                .isLessThanOrEqualTo(maximumWaitMilliseconds(450, 6.5, 57));
    }

    private static long maximumWaitMilliseconds(double decision, double perWorker, int workers) {
        return (long) (decision + perWorker * workers) + SCHEDULE_INTERVAL_MILLISECONDS;
    }
}
