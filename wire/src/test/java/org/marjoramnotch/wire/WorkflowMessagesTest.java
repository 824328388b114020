package org.marjoramnotch.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.FieldSource;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.logic.ledger.LedgerSnapshot;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;

class WorkflowMessagesTest {
    static final List<Command> COMMANDS = WorkflowExamples.COMMANDS;
    static final List<CellRequest> REQUESTS = WorkflowExamples.REQUESTS;
    static final List<CellReply> REPLIES = WorkflowExamples.REPLIES;

    private final CborMapper mapper = new CborMapper();

    @ParameterizedTest
    @FieldSource("COMMANDS")
    void commandSurvives(Command command) {
        byte[] bytes = mapper.write(Command.class, command);
        assertThat(mapper.read(Command.class, bytes)).isEqualTo(command);
    }

    @ParameterizedTest
    @FieldSource("REQUESTS")
    void requestSurvives(CellRequest request) {
        byte[] bytes = mapper.write(CellRequest.class, request);
        assertThat(mapper.read(CellRequest.class, bytes)).isEqualTo(request);
    }

    @ParameterizedTest
    @FieldSource("REPLIES")
    void replySurvives(CellReply reply) {
        byte[] bytes = mapper.write(CellReply.class, reply);
        assertThat(mapper.read(CellReply.class, bytes)).isEqualTo(reply);
    }

    @Test
    void snapshotHoldsRunsAndWhatTheyTake() {
        CborCodec codec = new CborCodec(mapper);
        Ledger ledger = new Ledger();
        COMMANDS.subList(0, 4).forEach(ledger::apply);

        LedgerSnapshot read = codec.decodeSnapshot(codec.encodeSnapshot(ledger.snapshot()));

        assertThat(read.workflow()).isEqualTo(ledger.snapshot().workflow());
        assertThat(Ledger.restore(read).snapshot().workflow()).isEqualTo(read.workflow());
    }
}
