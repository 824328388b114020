package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.Recurrence;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.Workflow;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

class LatencyObjectivesTest {
    private static final JobId ID = new JobId("0123456789abcdef");
    private static final int OCCURRENCES = 200;
    private static final int MOST_UNSTARTED = 64;
    private static final long INTERVAL_MILLISECONDS = 1_000;

    private final LatencyObjectives objectives = new LatencyObjectives(0);

    /**
     * Guards against a started occurrence whose next step waits behind many due ones that have not
     * begun.
     */
    @ParameterizedTest
    @CsvSource({"0, 0, 1", "9, 5, 10", "9, 9, 10", "199, 0, 65", "199, 150, 65", "199, 199, 65"})
    void startedOccurrencesAreConsideredBesideSomeOfTheOthers(
            int lastDue, int started, int considered) {
        WorkflowEntry entry = new WorkflowEntry(workflow(), queue());
        entry.start(
                new RunId(new WorkflowTaskId(new StepId(ID, started, 0), 0), 1),
                new WorkerId("w-1"));
        List<Integer> visited = new ArrayList<>();
        objectives.forEachDue(lastDue * INTERVAL_MILLISECONDS, entry, visited::add);

        assertThat(visited).hasSize(considered).contains(started).isSorted();
        assertThat(visited)
                .containsAll(
                        IntStream.rangeClosed(0, Math.min(lastDue, MOST_UNSTARTED - 1))
                                .boxed()
                                .toList());
    }

    private static QueueDefinition queue() {
        return TestFleet.queue("quick", "/quick/", 0, false, Optional.empty());
    }

    private static Workflow workflow() {
        return new Workflow(
                ID,
                new QueueName("quick"),
                Optional.empty(),
                "payload",
                List.of(StepDefinition.builder().build()),
                Optional.of(new Recurrence(OCCURRENCES, 0, INTERVAL_MILLISECONDS)),
                0);
    }
}
