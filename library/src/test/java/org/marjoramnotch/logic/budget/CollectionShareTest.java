package org.marjoramnotch.logic.budget;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.logic.budget.CollectionShare.Finding;

/** Guards against a process that collects garbage without end and neither ends nor serves. */
class CollectionShareTest {
    private final CollectionShare share = new CollectionShare();

    @ParameterizedTest
    @CsvSource({
        "5, 100, NONE",
        "15, 100, NONE",
        "15, 400, SHORT",
        "9, 950, SHORT",
        "11, 950, EXHAUSTED",
        "60, 690, SHORT"
    })
    void findingFollowsFromTheTimeOfCollections(int seconds, long eachSecond, Finding expected) {
        Finding last = Finding.NONE;
        for (int second = 0; second <= seconds; second++) {
            last = share.update(second * 1_000L, second * eachSecond);
        }
        assertThat(last).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"8", "30"})
    void timeWithEnoughMemoryBeginsAnew(int seconds) {
        for (int second = 0; second <= seconds; second++) {
            share.update(second * 1_000L, second * 950L);
        }
        share.onEnoughFree();
        Finding first = share.update(seconds * 1_000L + 1_000, seconds * 950L + 950);
        Finding second = share.update(seconds * 1_000L + 2_000, seconds * 950L + 1_000);
        assertThat(first).isEqualTo(Finding.NONE);
        assertThat(second).isEqualTo(Finding.NONE);
    }
}
