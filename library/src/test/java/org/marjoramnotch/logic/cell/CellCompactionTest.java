package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.job.JobSettings;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.placement.PlacementSettings;
import org.marjoramnotch.logic.replication.ReplicationEffects.CommittedEntry;
import org.marjoramnotch.model.command.EndRuns;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.ApplyRules;

class CellCompactionTest {
    private static final int ENTRIES_BETWEEN_SNAPSHOTS = 20_000;
    private static final int CHANGES = 40;

    /** The size of a configuration of some hundred routes, with what was parsed from it. */
    private static final int PAYLOAD_BYTES = 1024 * 1024;

    private final ScriptedLog log = new ScriptedLog();
    private final ReferenceCodec codec = new ReferenceCodec();
    private final CellCore core =
            new CellCore(
                    new CellSettings(ENTRIES_BETWEEN_SNAPSHOTS),
                    log,
                    codec,
                    new StandardLeaderDutyFactory(
                            PlacementSettings.defaults(),
                            JobSettings.defaults(),
                            RandomSource.XO_RO_SHI_RO_128_PP.create(1)));

    /** Guards against snapshots, which take long, while a new leader applies the log. */
    @Test
    void logIsCompactedOnlyOnceItIsApplied() {
        log.ready = false;
        byte[] payload =
                codec.encode(new EndRuns(new WorkerIncarnation(new WorkerId("w-1"), 1), List.of()));
        for (int index = 1; index <= 2 * ENTRIES_BETWEEN_SNAPSHOTS; index++) {
            log.proposals.add(new CommittedEntry(index, 1, payload));
        }
        log.commitAll();
        core.tick(0);
        while (core.hasUnappliedEntries()) {
            assertThat(log.compactions).isEmpty();
            core.takeEffects(0);
        }
        assertThat(log.compactions).hasSize(1);
    }

    /** Guards against a log of few but large entries that fills disk and memory. */
    @Test
    void largeEntriesAreCompactedBeforeTheyFillTheDisk() {
        core.tick(0);
        for (int change = 0; change < CHANGES; change++) {
            core.request(
                    change,
                    new RequestHandle("link", change),
                    new ApplyRules(
                            new RequestId("change-" + change),
                            change,
                            "team wards share 1 limit " + (change + 1) + " # ward office\n"));
            CommittedEntry proposed = log.proposals.remove(0);
            log.proposals.add(
                    new CommittedEntry(proposed.index(), proposed.term(), new byte[PAYLOAD_BYTES]));
            log.commitAll();
            core.tick(change);
            core.takeEffects(change);
        }
        assertThat(core.ledger().configurationVersion()).isEqualTo(CHANGES);
        assertThat(log.compactions).hasSize(2);
    }
}
