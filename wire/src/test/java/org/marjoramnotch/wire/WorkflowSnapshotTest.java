package org.marjoramnotch.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.logic.ledger.LedgerSnapshot;
import org.marjoramnotch.model.fleet.FleetHistoryRecord;

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

    /** An earlier release wrote snapshots without the history of the fleet. */
    @Test
    void snapshotWithoutHistoryIsRead() throws IOException {
        Ledger ledger = new Ledger();
        WorkflowExamples.COMMANDS.subList(0, 4).forEach(ledger::apply);
        byte[] written = mapper.write(LedgerSnapshot.class, ledger.snapshot());
        CBORMapper trees = new CBORMapper();
        JsonNode tree = trees.readTree(written);
        assertThat(((ObjectNode) tree.path("workflow")).remove("history")).isNotNull();

        LedgerSnapshot read = mapper.read(LedgerSnapshot.class, trees.writeValueAsBytes(tree));

        assertThat(read.workflow().history()).isEqualTo(FleetHistoryRecord.EMPTY);
        assertThat(Ledger.restore(read).snapshot().workflow().history())
                .isEqualTo(ledger.snapshot().workflow().history());
    }
}
