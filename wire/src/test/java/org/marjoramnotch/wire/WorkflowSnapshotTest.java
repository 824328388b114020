package org.marjoramnotch.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.logic.ledger.LedgerSnapshot;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.DismissWorker;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.fleet.EvacuationRecord;
import org.marjoramnotch.model.fleet.FleetHistoryRecord;
import org.marjoramnotch.model.fleet.ZoneEvacuation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.workflow.WorkflowRecord;
import org.marjoramnotch.model.workflow.WorkflowSnapshot;

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

    /** The release before the former pools of workflows wrote snapshots without them. */
    @Test
    void snapshotWithoutFormerPoolsIsRead() throws IOException {
        Ledger ledger = new Ledger();
        WorkflowExamples.COMMANDS.subList(0, 4).forEach(ledger::apply);
        CBORMapper trees = new CBORMapper();
        JsonNode tree =
                trees.readTree(mapper.write(LedgerSnapshot.class, ledger.snapshot()))
                        .path("workflow");
        assertThat(((ObjectNode) tree.path("history")).remove("moves")).isNotNull();
        ObjectNode workflow = (ObjectNode) tree.path("workflows").get(0);
        assertThat(workflow.remove("formerPools")).isNotNull();
        assertThat(workflow.remove("failure")).isNotNull();

        WorkflowSnapshot read = mapper.read(WorkflowSnapshot.class, trees.writeValueAsBytes(tree));

        assertThat(read).isEqualTo(ledger.snapshot().workflow());
    }

    /** The release before inherited leases wrote snapshots and commands without them. */
    @Test
    void snapshotWithoutInheritedLeasesIsRead() throws IOException {
        Ledger ledger = new Ledger();
        WorkflowExamples.COMMANDS.subList(0, 4).forEach(ledger::apply);
        CBORMapper trees = new CBORMapper();
        JsonNode tree =
                trees.readTree(mapper.write(LedgerSnapshot.class, ledger.snapshot()))
                        .path("workflow");
        assertThat(((ObjectNode) tree).remove("followers")).isNotNull();
        assertThat(((ObjectNode) tree).remove("inheritedLeases")).isNotNull();
        assertThat(((ObjectNode) tree).remove("dismissedWorkers")).isNotNull();
        ObjectNode task =
                (ObjectNode)
                        tree.path("workflows")
                                .get(0)
                                .path("startedOccurrences")
                                .get(0)
                                .path("tasks")
                                .get(0)
                                .get(0);
        assertThat(task.remove("startedByNextLife")).isNotNull();
        assertThat(task.remove("unlistedRuns")).isNotNull();

        WorkflowSnapshot read = mapper.read(WorkflowSnapshot.class, trees.writeValueAsBytes(tree));

        assertThat(read).isEqualTo(ledger.snapshot().workflow());
    }

    /** Guards against evacuations that end with a restore; an earlier release wrote none. */
    @Test
    void evacuationsAreReadIfTheSnapshotHasThem() throws IOException {
        Ledger ledger = new Ledger();
        WorkflowExamples.COMMANDS.forEach(ledger::apply);
        CBORMapper trees = new CBORMapper();
        JsonNode tree = trees.readTree(mapper.write(LedgerSnapshot.class, ledger.snapshot()));
        LedgerSnapshot whole = mapper.read(LedgerSnapshot.class, trees.writeValueAsBytes(tree));
        assertThat(((ObjectNode) tree.path("workflow")).remove("evacuations")).isNotNull();
        LedgerSnapshot earlier = mapper.read(LedgerSnapshot.class, trees.writeValueAsBytes(tree));

        assertThat(Ledger.restore(whole).snapshot().workflow().evacuations().zones())
                .extracting(ZoneEvacuation::active)
                .containsExactly(false, true);
        assertThat(earlier.workflow().evacuations()).isEqualTo(EvacuationRecord.EMPTY);
        assertThat(Ledger.restore(earlier).snapshot().workflow().evacuations().known())
                .containsExactly(new AvailabilityZone("zone"));
    }

    @ParameterizedTest
    @MethodSource("commandsWithoutEvidence")
    void commandOfEarlierReleaseHasNoEvidence(Command command, Command expected)
            throws IOException {
        CBORMapper trees = new CBORMapper();
        ObjectNode tree = (ObjectNode) trees.readTree(mapper.write(Command.class, command));
        assertThat(tree.remove("nextLifeEvidence")).isNotNull();
        tree.remove("inheritedLeaseOver");
        tree.remove("inheritedLease");

        assertThat(mapper.read(Command.class, trees.writeValueAsBytes(tree))).isEqualTo(expected);
    }

    static Stream<Arguments> commandsWithoutEvidence() {
        return WorkflowExamples.COMMANDS.stream()
                .flatMap(
                        command ->
                                command instanceof EnrollWorker enroll
                                        ? Stream.of(
                                                Arguments.of(
                                                        enroll, new EnrollWorker(enroll.worker())))
                                        : command instanceof DismissWorker dismiss
                                                ? Stream.of(
                                                        Arguments.of(
                                                                dismiss,
                                                                new DismissWorker(
                                                                        dismiss.worker())))
                                                : Stream.empty());
    }

    @Test
    void formerPoolsAndReasonSurviveRoundTrip() {
        WorkflowRecord example = exampleWorkflow();
        WorkflowRecord moved =
                new WorkflowRecord(
                        example.workflow(),
                        example.queue(),
                        example.state(),
                        example.tasks(),
                        List.of(new ServiceName("former")),
                        Optional.of("reason"),
                        example.startedOccurrences(),
                        List.of(5L));
        assertThat(mapper.read(WorkflowRecord.class, mapper.write(WorkflowRecord.class, moved)))
                .isEqualTo(moved);
    }

    private static WorkflowRecord exampleWorkflow() {
        Ledger ledger = new Ledger();
        WorkflowExamples.COMMANDS.subList(0, 4).forEach(ledger::apply);
        return ledger.snapshot().workflow().workflows().get(0);
    }
}
