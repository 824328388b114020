package org.marjoramnotch.logic.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;

class AdmissionPolicyTest {
    private static final ServiceName POOL = new ServiceName("pool");
    private static final TeamName TEAM = new TeamName("one");
    private static final TeamName OTHER_TEAM = new TeamName("two");
    private static final long OBJECTIVE = 1_000;
    private static final long CRITICAL_PATH = 600;

    /** The longest wait after which a result has a worth: 3 objectives less the critical path. */
    private static final long LONGEST_WAIT = 3 * OBJECTIVE - CRITICAL_PATH;

    private final AdmissionPolicy policy = new AdmissionPolicy();

    /** Wide work that fills a pool of 100,000 which frees itself once in 1,000 ms. */
    @ParameterizedTest(name = "waiting {0}, free {1}, priority of the waiting work {2}")
    @CsvSource({
        "0, 0, 0, false",
        "238000, 0, 0, false",
        "240000, 0, 0, true",
        "240000, 20000, 0, false",
        "9000000, 0, 2, false",
        "9000000, 9100000, 0, false",
    })
    void refusesWhatWaitsTooLongForRoom(long waiting, long free, int priority, boolean refused) {
        LoadSnapshot load = load(room(waiting, free, priority), AdvisorLoad.NONE, waiting, 1);
        assertThat(admit(submission(1, 2_000, true), load).isPresent()).isEqualTo(refused);
    }

    /** Quick steps, of which each needs two questions of 100 ms, at ten daemons. */
    @ParameterizedTest(name = "{0} steps wait, {1} daemons are idle")
    @CsvSource({"0, 0, true, false", "119, 0, true, false", "121, 0, true, true"})
    void refusesWhatWaitsTooLongForAdvice(int steps, int idle, boolean advised, boolean refused) {
        LoadSnapshot load = load(room(0, 1_000_000, 0), advice(steps, idle), 0, 1);
        assertThat(admit(submission(1, 2_000, advised), load).isPresent()).isEqualTo(refused);
    }

    @ParameterizedTest
    @CsvSource({"500, 600, true", "500, 0, false"})
    void admitsWhatNeedsNoWaitForAdvice(int steps, int idle, boolean advised) {
        LoadSnapshot load = load(room(0, 1_000_000, 0), advice(steps, idle), 0, 1);
        assertThat(admit(submission(1, 2_000, advised), load)).isEmpty();
    }

    /** The team may run 10,000 and uses all of it. */
    @ParameterizedTest(name = "team has {0} waiting")
    @CsvSource({"0, false", "21000, false", "23000, true"})
    void refusesWhatWaitsTooLongForTheLimitOfItsTeam(long waiting, boolean refused) {
        TeamLoad team = new TeamLoad(1, 10_000, 10_000, waiting);
        LoadSnapshot load =
                new LoadSnapshot(
                        Map.of(POOL, room(0, 1_000_000, 0)), AdvisorLoad.NONE, Map.of(TEAM, team));
        assertThat(admit(submission(1, 2_000, true), load).isPresent()).isEqualTo(refused);
    }

    @Test
    void submissionsAdmittedSinceTheSnapshotCount() {
        LoadSnapshot load = load(room(0, 0, 0), AdvisorLoad.NONE, 0, 1);
        long admitted =
                IntStream.range(0, 1_000)
                        .filter(number -> admit(submission(number, 2_000, true), load).isEmpty())
                        .count();
        assertThat(admitted).isEqualTo(LONGEST_WAIT * 100_000 / 1_000 / 2_000);
    }

    @Test
    void storedSubmissionsCountNoLongerAsAdmitted() {
        LoadSnapshot load = load(room(0, 0, 0), AdvisorLoad.NONE, 0, 1);
        for (int number = 0; number < 1_000; number++) {
            assertThat(admit(submission(number, 2_000, true), load)).isEmpty();
            policy.onSettled(id(number));
        }
    }

    @ParameterizedTest(name = "team of weight {0} has {1} of 1,000,000 waiting")
    @CsvSource({"1, 400000, false", "1, 600000, true", "3, 600000, false", "3, 800000, true"})
    void teamBelowItsShareIsAdmitted(long weight, long own, boolean refused) {
        LoadSnapshot load = load(room(1_000_000, 0, 0), AdvisorLoad.NONE, own, weight);
        assertThat(admit(submission(1, 2_000, true), load).isPresent()).isEqualTo(refused);
    }

    @Test
    void refusedCallersReturnOneAfterTheOther() {
        LoadSnapshot load = load(room(500_000, 0, 0), AdvisorLoad.NONE, 500_000, 1);
        long first = retryAfter(submission(1, 10_000, true), load);
        long second = retryAfter(submission(2, 10_000, true), load);
        long third = retryAfter(submission(3, 10_000, true), load);
        // A wait of 5,100 ms less a slack of 400 ms; 10,000 of 500,000 are taken off in 102 ms.
        assertThat(first).isEqualTo(4_700);
        assertThat(second - first).isEqualTo(102);
        assertThat(third - second).isEqualTo(102);
    }

    @Test
    void callersOfHigherPriorityReturnFirst() {
        LoadSnapshot load = load(room(500_000, 0, 0), AdvisorLoad.NONE, 500_000, 1);
        long low = retryAfter(submission(1, 10_000, true, 2), load);
        long high = retryAfter(submission(2, 10_000, true, 0), load);
        long nextLow = retryAfter(submission(3, 10_000, true, 2), load);
        assertThat(high).isLessThanOrEqualTo(low);
        assertThat(nextLow).isGreaterThan(high);
    }

    private long retryAfter(Submission submission, LoadSnapshot load) {
        return admit(submission, load).orElseThrow().retryAfterMilliseconds();
    }

    private Optional<AdmissionPolicy.Rejection> admit(Submission submission, LoadSnapshot load) {
        return policy.admit(0, submission, load);
    }

    private static Submission submission(int number, long processorMillis, boolean advised) {
        return submission(number, processorMillis, advised, 0);
    }

    private static Submission submission(
            int number, long processorMillis, boolean advised, int priority) {
        return new Submission(
                id(number),
                POOL,
                priority,
                Optional.of(TEAM),
                advised,
                processorMillis,
                OBJECTIVE,
                CRITICAL_PATH);
    }

    private static JobId id(int number) {
        return new JobId("%016x".formatted(number));
    }

    private static PoolLoad room(long waiting, long free, int priority) {
        WaitingWork work = new WaitingWork();
        work.add(priority, waiting);
        return new PoolLoad(100_000, free, 1_000, work);
    }

    private static AdvisorLoad advice(int steps, int idleDaemons) {
        WaitingWork work = new WaitingWork();
        work.add(0, steps);
        return new AdvisorLoad(10, idleDaemons, 100, 2, work);
    }

    /** Returns a load in which the team has some of the work that waits for room. */
    private static LoadSnapshot load(
            PoolLoad pool, AdvisorLoad advisor, long ownWaiting, long weight) {
        long others = Math.max(0, pool.waiting().total() - ownWaiting);
        return new LoadSnapshot(
                Map.of(POOL, pool),
                advisor,
                Map.of(
                        TEAM,
                        new TeamLoad(weight, 0, 0, ownWaiting),
                        OTHER_TEAM,
                        new TeamLoad(1, 0, 0, others)));
    }
}
