package org.marjoramnotch.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.logic.replication.HardState;
import org.marjoramnotch.logic.replication.RecoveredState;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Membership;
import org.marjoramnotch.model.replication.Snapshot;

class RecoveredStateLogTest {
    @ParameterizedTest
    @CsvSource({
        "0, 0, none, snapshot_index=0 last_index=0 last_term=0",
        "0, 2, g-1, snapshot_index=0 last_index=2 last_term=5",
        "40, 0, g-1, snapshot_index=40 last_index=40 last_term=3",
        "40, 2, g-1, snapshot_index=40 last_index=42 last_term=5"
    })
    void entryTellsWhatWasStored(long snapshot, int entries, String group, String stored) {
        RecoveredState state =
                new RecoveredState(
                        new HardState(
                                6,
                                Optional.empty(),
                                Optional.of(group).filter(name -> !name.equals("none"))),
                        snapshot == 0
                                ? Optional.empty()
                                : Optional.of(
                                        new Snapshot(snapshot, 3, Membership.none(), new byte[0])),
                        LongStream.rangeClosed(1, entries)
                                .mapToObj(entry -> LogEntry.noOp(snapshot + entry, 5))
                                .toList());

        assertThat(RecoveredStateLog.eventOf(new ReplicaId(new VmId("vm-1"), "d1"), state))
                .hasToString(
                        "event=replica_recovered replica=vm-1#d1 group="
                                + group
                                + " term=6 "
                                + stored);
    }
}
