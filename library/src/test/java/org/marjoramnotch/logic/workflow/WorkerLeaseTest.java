package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.fleet.InheritedLease;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.WorkerId;

class WorkerLeaseTest {
    private static final WorkflowSettings SETTINGS =
            WorkflowSettings.builder().leaseMilliseconds(3_000).build();

    @Test
    void leaseWithUnknownClockEndsAfterLongestEarlierGrant() {
        WorkerLease lease = WorkerLease.byOwnClock(SETTINGS, 10_000);
        assertThat(lease.isOver(10_000 + 3_000)).isFalse();
        assertThat(lease.isOver(10_000 + 3_500)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.98, 1.0, 1.02})
    void leaseIsNeverOverWhileTheWorkerMayKeepIt(double rate) {
        WorkerLease lease = WorkerLease.byOwnClock(SETTINGS, 0);
        lease.onAnswer(1_000, 1_040, (long) (1_020 * rate));
        long until = lease.grant(2_000).orElseThrow();
        long now = 2_000;
        while (!lease.isOver(now)) {
            now++;
        }
        assertThat((long) (now * rate)).isGreaterThanOrEqualTo(until);
    }

    @Test
    void nothingIsGrantedWithUnknownClock() {
        assertThat(WorkerLease.byOwnClock(SETTINGS, 0).grant(5)).isEmpty();
    }

    /** The first answer follows the last call that an earlier incarnation's clock may be in. */
    @ParameterizedTest
    @ValueSource(doubles = {0.98, 1.0, 1.02})
    void inheritedLeaseIsOverAfterTheLongestLeaseFromTheFirstAnswer(double rate) {
        WorkerLease lease = WorkerLease.possiblyInherited(SETTINGS, Optional.empty(), 0);
        lease.onAnswer(1_000, 1_040, clock(rate, 1_020));
        long inherited = clock(rate, 1_020) + SETTINGS.longestLeaseMilliseconds();
        long now = 1_040;
        while (!lease.isOver(now)) {
            now++;
        }
        assertThat(clock(rate, now)).isGreaterThanOrEqualTo(inherited);
        assertThat(lease.areEarlierGrantsOver(now)).isTrue();
        assertThat(now).isLessThan(1_040 + 10_650);
    }

    /** A change of leader does not lengthen the wait. */
    @ParameterizedTest
    @ValueSource(doubles = {0.98, 1.0, 1.02})
    void nextLeaderWaitsForTheInheritedLeaseThatTheEarlierOneRead(double rate) {
        WorkerLease earlier = WorkerLease.possiblyInherited(SETTINGS, Optional.empty(), 0);
        earlier.onAnswer(1_000, 1_040, clock(rate, 1_020));
        WorkerLease later =
                WorkerLease.possiblyInherited(
                        SETTINGS,
                        Optional.of(
                                new InheritedLease(
                                        new WorkerIncarnation(new WorkerId("w-1"), 2),
                                        earlier.inheritedUntil().orElseThrow(),
                                        10_000)),
                        6_000);
        later.onAnswer(6_000, 6_040, clock(rate, 6_020));
        long now = 6_040;
        while (!later.isOver(now)) {
            now++;
        }
        assertThat(clock(rate, now)).isGreaterThanOrEqualTo(clock(rate, 1_020) + 10_000);
        assertThat(now).isLessThan(1_040 + 10_650);
    }

    @Test
    void inheritedLeaseWithUnknownClockLastsTheLongestLease() {
        WorkerLease lease = WorkerLease.possiblyInherited(SETTINGS, Optional.empty(), 10_000);
        assertThat(lease.isOver(10_000 + 10_200)).isFalse();
        assertThat(lease.areEarlierGrantsOver(10_000 + 20_000)).isFalse();
        assertThat(lease.isOver(10_000 + 10_600)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({
        // sent at, clock in the answer, behind
        "1_040, 501_019, false",
        "1_040, 500_500, true",
        "1_040, 300, true",
        "900, 300, false",
        "6_040, 505_870, false",
        "6_040, 505_800, true"
    })
    void answerWithClockBehindTheWorkerIsOfAnotherIncarnation(
            String sentAt, String clock, boolean behind) {
        WorkerLease lease = WorkerLease.byOwnClock(SETTINGS, 0);
        lease.onAnswer(1_000, 1_040, 501_020);
        assertThat(lease.isBehind(number(sentAt), number(clock))).isEqualTo(behind);
    }

    private static long number(String grouped) {
        return Long.parseLong(grouped.replace("_", ""));
    }

    /**
     * Guards against a lease that outlasts the time for which the next leader waits: a worker reads
     * its clock at any moment between a call and its answer.
     */
    @ParameterizedTest
    @MethodSource("answers")
    void grantIsNeverLongerThanTheLease(double rate, long readAfter, long receivedAfter, long age) {
        WorkerLease lease = WorkerLease.byOwnClock(SETTINGS, 0);
        long sentAt = 1_000;
        lease.onAnswer(sentAt, sentAt + receivedAfter, clock(rate, sentAt + readAfter));
        long now = sentAt + receivedAfter + age;
        long granted = lease.grant(now).orElseThrow() - clock(rate, now);
        assertThat(granted).isLessThanOrEqualTo(SETTINGS.leaseMilliseconds());
    }

    @ParameterizedTest
    @MethodSource("answers")
    void nextLeaderWaitsUntilTheGrantOfTheEarlierOneIsOver(
            double rate, long readAfter, long receivedAfter, long age) {
        WorkerLease earlier = WorkerLease.byOwnClock(SETTINGS, 0);
        earlier.onAnswer(1_000, 1_000 + receivedAfter, clock(rate, 1_000 + readAfter));
        long begin = 1_000 + receivedAfter + age;
        long until = earlier.grant(begin).orElseThrow();
        WorkerLease unheard = WorkerLease.byOwnClock(SETTINGS, begin);
        WorkerLease heard = WorkerLease.byOwnClock(SETTINGS, begin);
        heard.onAnswer(begin + 5, begin + 900, clock(rate, begin + 10));
        for (WorkerLease lease : List.of(unheard, heard)) {
            long now = begin + 900;
            while (!lease.isOver(now)) {
                now++;
            }
            assertThat(clock(rate, now)).isGreaterThanOrEqualTo(until);
        }
    }

    /** A worker that is not asked for long gets a shorter lease, which is enough for a call. */
    @ParameterizedTest
    @ValueSource(doubles = {0.98, 1.0, 1.02})
    void grantAfterRecentReadingLastsAlmostTheLease(double rate) {
        WorkerLease lease = WorkerLease.byOwnClock(SETTINGS, 0);
        lease.onAnswer(1_000, 3_010, clock(rate, 3_005));
        assertThat(lease.grant(5_000).orElseThrow() - clock(rate, 5_000)).isBetween(2_900L, 3_000L);
        long latest = 3_010 + WorkerLease.OLD_READING_MILLISECONDS;
        assertThat(lease.isReadingOld(latest - 1)).isFalse();
        assertThat(lease.isReadingOld(latest)).isTrue();
    }

    private static long clock(double rate, long time) {
        return 500_000 + (long) (time * rate);
    }

    static Stream<Arguments> answers() {
        List<Arguments> answers = new ArrayList<>();
        for (double rate : new double[] {0.98, 1.0, 1.02}) {
            for (long receivedAfter : new long[] {4, 400, 2_010, 2_600}) {
                for (long readAfter : new long[] {0, receivedAfter / 2, receivedAfter}) {
                    for (long age : new long[] {0, 300, 2_000, 20_000}) {
                        answers.add(Arguments.of(rate, readAfter, receivedAfter, age));
                    }
                }
            }
        }
        return answers.stream();
    }
}
