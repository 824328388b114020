package org.marjoramnotch.wire;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.logic.ledger.LedgerSnapshot;

class WorkflowSnapshotTest {
    private final CborMapper mapper = new CborMapper();

    @Test
    void snapshotContainsRunsAndTheirResources() {
        CborCodec codec = new CborCodec(mapper);
        Ledger ledger = new Ledger();
        WorkflowExamples.COMMANDS.subList(0, 4).forEach(ledger::apply);

        LedgerSnapshot read = codec.decodeSnapshot(codec.encodeSnapshot(ledger.snapshot()));

        assertThat(read.workflow()).isEqualTo(ledger.snapshot().workflow());
        assertThat(Ledger.restore(read).snapshot().workflow()).isEqualTo(read.workflow());
    }
}
