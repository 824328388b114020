package org.marjoramnotch.daemon.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DutyInputQueueTest {
    @Test
    void fullQueueRefusesInputAndKeepsItsOrder() {
        DutyInputQueue<Integer> input = new DutyInputQueue<>(4);
        int accepted = 0;
        while (input.offer(accepted)) {
            accepted++;
        }
        List<Integer> drained = new ArrayList<>();

        assertThat(accepted).isEqualTo(4);
        assertThat(input.drain(drained::add, 3)).isEqualTo(3);
        assertThat(input.drain(drained::add, 3)).isEqualTo(1);
        assertThat(drained).containsExactly(0, 1, 2, 3);
    }

    @Test
    void delayIsMeasuredForOneInputAtOnce() {
        long[] now = {100};
        List<Long> delays = new ArrayList<>();
        DutyInputQueue<String> input = new DutyInputQueue<>(4, () -> now[0], delays::add);
        input.offer("first");
        now[0] += 20;
        input.offer("second");
        now[0] += 30;
        input.drain(accepted -> {}, 4);
        input.offer("third");
        now[0] += 5;
        input.drain(accepted -> {}, 4);

        assertThat(delays).containsExactly(50L, 5L);
    }
}
