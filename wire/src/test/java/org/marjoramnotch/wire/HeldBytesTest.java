package org.marjoramnotch.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.model.command.SubmitWorkflow;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.Recurrence;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.Workflow;

/**
 * Measures the snapshot of stored workflows. Guards against a snapshot that grows with what is due
 * in years, so that neither a running nor a restarted replica can hold it.
 */
class HeldBytesTest {
    private static final int WORKFLOWS = 20;
    private static final long BYTES_OF_WORKFLOW = 4_000;
    private static final long BYTES_OF_TASK = 200;

    static Stream<Arguments> shapes() {
        return Stream.of(
                Arguments.of(1, 1, 1),
                Arguments.of(1, 1, 1_000),
                Arguments.of(2, 10, 1_000),
                Arguments.of(1, 20, 1_000),
                Arguments.of(4, 500, 8));
    }

    @ParameterizedTest
    @MethodSource("shapes")
    void snapshotGrowsWithTheTasksOfOneOccurrence(int steps, int tasks, int times) {
        Ledger ledger = new Ledger();
        WorkflowExamples.COMMANDS.subList(0, 1).forEach(ledger::apply);
        for (int number = 0; number < WORKFLOWS; number++) {
            ledger.apply(new SubmitWorkflow(workflow(number, steps, tasks, times)));
        }
        byte[] snapshot = new CborCodec(new CborMapper()).encodeSnapshot(ledger.snapshot());

        assertThat(ledger.snapshot().workflow().workflows()).hasSize(WORKFLOWS);
        assertThat((long) snapshot.length)
                .isLessThan(WORKFLOWS * (BYTES_OF_WORKFLOW + (long) steps * tasks * BYTES_OF_TASK));
    }

    private static Workflow workflow(int number, int steps, int tasks, int times) {
        StepDefinition step =
                StepDefinition.builder().tasks(tasks).demand(new Resources(100, 100, 0)).build();
        return new Workflow(
                new JobId("%016x".formatted(number)),
                new QueueName("quick"),
                Optional.empty(),
                "payload",
                IntStream.range(0, steps).mapToObj(each -> step).toList(),
                Optional.of(new Recurrence(times, 1_800_000_000_000L, 86_400_000)),
                0);
    }
}
