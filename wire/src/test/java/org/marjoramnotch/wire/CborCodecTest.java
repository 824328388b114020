package org.marjoramnotch.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.FieldSource;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.logic.ledger.LedgerSnapshot;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.AppendEntries;
import org.marjoramnotch.model.replication.FoundingAttestation;
import org.marjoramnotch.model.replication.FoundingNotice;
import org.marjoramnotch.model.replication.FoundingProbe;
import org.marjoramnotch.model.replication.LogEntry;
import org.marjoramnotch.model.replication.Membership;
import org.marjoramnotch.model.replication.ReplicationEnvelope;
import org.marjoramnotch.model.replication.ReplicationMessage;
import org.marjoramnotch.model.replication.SnapshotChunk;
import org.marjoramnotch.model.replication.VoteKind;
import org.marjoramnotch.model.replication.VoteRequest;

class CborCodecTest {
    private static final ReplicaId REPLICA = new ReplicaId(new VmId("vm-1"), "identity");
    private static final Membership MEMBERS = Membership.formedBy(REPLICA);

    static final List<Command> COMMANDS = MessageExamples.COMMANDS;
    static final List<ReplicationMessage> MESSAGES =
            List.of(
                    new VoteRequest("group", VoteKind.values()[0], 3, 2, 1),
                    new AppendEntries(
                            "group",
                            3,
                            2,
                            1,
                            List.of(
                                    LogEntry.noOp(3, 3),
                                    LogEntry.payload(4, 3, new byte[] {1, 2}),
                                    LogEntry.membership(5, 3, MEMBERS)),
                            2,
                            99),
                    new SnapshotChunk("group", 3, 2, 1, MEMBERS, 0, 3, new byte[] {1, 2, 3}, 99),
                    new FoundingProbe(7, List.of(REPLICA.vm())),
                    new FoundingAttestation(7, "group"),
                    new FoundingNotice(MEMBERS));

    private final CborMapper mapper = new CborMapper();
    private final CborCodec codec = new CborCodec(mapper);

    @ParameterizedTest
    @FieldSource("COMMANDS")
    void commandSurvivesRoundTrip(Command command) {
        assertThat(codec.decode(codec.encode(command)))
                .usingRecursiveComparison()
                .isEqualTo(command);
    }

    @ParameterizedTest
    @FieldSource("MESSAGES")
    void replicationMessageSurvivesRoundTrip(ReplicationMessage message) {
        ReplicationEnvelope envelope =
                new ReplicationEnvelope(REPLICA, new ReplicaId(REPLICA.vm(), ""), message);
        FrameCodec frameCodec = new FrameCodec(mapper);

        assertThat(frameCodec.replicationOf(frameCodec.replication(envelope)))
                .usingRecursiveComparison()
                .isEqualTo(envelope);
    }

    @Test
    void snapshotOfChangedLedgerSurvivesRoundTrip() {
        Ledger ledger = new Ledger();
        COMMANDS.forEach(ledger::apply);
        LedgerSnapshot snapshot = ledger.snapshot();

        LedgerSnapshot read = codec.decodeSnapshot(codec.encodeSnapshot(snapshot));

        assertThat(read).usingRecursiveComparison().isEqualTo(snapshot);
        assertThat(Optional.of(Ledger.restore(read).snapshot()))
                .get()
                .usingRecursiveComparison()
                .isEqualTo(snapshot);
    }
}
