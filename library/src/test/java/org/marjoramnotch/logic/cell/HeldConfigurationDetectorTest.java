package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.logic.cell.HeldConfigurationDetector.Cause;

class HeldConfigurationDetectorTest {
    private static final long PROPOSED = 1_700_000_000_000L;

    @ParameterizedTest
    @CsvSource({
        "10, 0, 3, 1,",
        "11, 0, 3, 1,",
        "11, 0, 4, 1, LOG",
        "11, 0, 3, 2, LOG",
        "90, 90, 3, 1, SNAPSHOT",
        "90, 90, 4, 2, SNAPSHOT"
    })
    void changeOfVersionOrSnapshotIsDetected(
            long index, long restored, long version, long rules, Cause cause) {
        HeldConfigurationDetector detector = new HeldConfigurationDetector(Cause.DISK_OUTAGE);
        assertThat(detector.detectChange(state(10, 0, 3, 1))).contains(Cause.DISK_OUTAGE);

        AppliedState next = state(index, restored, version, rules);
        assertThat(detector.detectChange(next)).isEqualTo(Optional.ofNullable(cause));
        assertThat(detector.detectChange(next)).isEmpty();
    }

    @Test
    void entryTellsVersionsAgeAndPosition() {
        assertThat(
                        HeldConfigurationDetector.entryOf(
                                        Cause.LOG, state(90, 80, 4, 2), 6, PROPOSED + 12)
                                .fields())
                .containsExactly(
                        "cause",
                        Cause.LOG,
                        "version",
                        4L,
                        "rules_version",
                        2L,
                        "age_ms",
                        12L,
                        "term",
                        6L,
                        "index",
                        90L,
                        "restored_index",
                        80L);
    }

    @ParameterizedTest
    @CsvSource({"12, 12", "-5, 0"})
    void ageIsNeverNegative(long sinceProposal, long age) {
        assertThat(state(1, 0, 1, 0).configurationAgeMilliseconds(PROPOSED + sinceProposal))
                .hasValue(age);
    }

    private static AppliedState state(long index, long restored, long version, long rules) {
        return new AppliedState(
                index, restored, OptionalLong.of(version), OptionalLong.of(PROPOSED), rules);
    }
}
