package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.AdviceAnswer;
import org.marjoramnotch.model.message.TakeAdviceQuestion;

/** Daemons on processors of unlike speed pass questions on; quick steps wait for their answers. */
class DaemonPollsTest {
    private final DaemonPolls polls = new DaemonPolls();

    @ParameterizedTest(name = "delays {0}, {1}; failed {2}, {3}")
    @CsvSource({
        "40, 200, false, false, 1",
        "200, 40, false, false, 2",
        "40, 40, false, false, 2",
        "40, 200, true, false, 2",
        "40, 200, true, true, 1",
    })
    void fastestDaemonGetsTheQuestion(
            long firstDelay,
            long secondDelay,
            boolean firstFailed,
            boolean secondFailed,
            int expected) {
        poll(1, firstDelay, firstFailed);
        poll(2, secondDelay, secondFailed);
        assertThat(polls.takeFastest()).isEqualTo(handle(expected));
    }

    @ParameterizedTest
    @CsvSource({"0, 2", "3000, 2", "3001, 0"})
    void daemonIsActiveForSomeTimeAfterItsPoll(long later, int active) {
        poll(1, 40, false);
        poll(2, 40, false);
        assertThat(polls.active(later)).isEqualTo(active);
    }

    private void poll(int number, long delay, boolean failed) {
        VmId vm = new VmId("vm-" + number);
        AdviceAnswer answer =
                new AdviceAnswer(1, failed ? Optional.empty() : Optional.of(Map.of()), 1_000);
        polls.onAnswer(vm, delay);
        polls.add(0, handle(number), new TakeAdviceQuestion(vm, Optional.of(answer), 1_000));
    }

    private static RequestHandle handle(int number) {
        return new RequestHandle("link", number);
    }
}
