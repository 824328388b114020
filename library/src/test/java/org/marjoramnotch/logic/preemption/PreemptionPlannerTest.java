package org.marjoramnotch.logic.preemption;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.logic.preemption.PreemptionPlan.Declined;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.RunId;
import org.marjoramnotch.model.workflow.StepId;
import org.marjoramnotch.model.workflow.WorkflowTaskId;

/** Guards against stops that gain nothing, lose too much or are not needed. */
class PreemptionPlannerTest {
    private static final long NOW = 100_000;
    private static final Resources CORE = new Resources(1_000, 100, 0);

    /** A pool of 100 cores in which a stop takes 200 ms and nothing else frees capacity. */
    private static final PoolState POOL = new PoolState(NOW, 200, 100_000, 0, 0);

    private record Case(
            PoolState pool,
            List<UrgentStep> steps,
            List<PreemptionCandidate> runs,
            Map<WorkerIncarnation, Resources> rooms) {}

    static Stream<Arguments> cases() {
        return Stream.of(
                row("least loss first", List.of(2), c -> c, run(1, 900), run(2, 300), run(3, 600)),
                row("worthless work first", List.of(2), c -> c, run(1, 100), worthless(2, 2_000)),
                row("no equal priority", List.of(), c -> c, priority(run(1, 100), 0)),
                row("no filler", List.of(), c -> c, with(run(1, 1), 2, 0, true, true)),
                row("preempted once", List.of(1), c -> c, with(run(1, 1), 2, 1, false, true)),
                row("preempted twice", List.of(), c -> c, with(run(1, 1), 2, 2, false, true)),
                row("ends by itself", List.of(), c -> c, ending(run(1, 100), NOW + 200)),
                row("ends later", List.of(1), c -> c, ending(run(1, 100), NOW + 201)),
                row("four times the core time", List.of(1), c -> c, run(1, 2_560)),
                row("more than that", List.of(), c -> c, run(1, 2_561)),
                row("too late anyway", List.of(), c -> slack(c, 249), run(1, 100)),
                row("just in time", List.of(1), c -> slack(c, 250), run(1, 100)),
                row("freed in time", List.of(), c -> freed(c, 1), run(1, 100)),
                row("freed too late", List.of(1), c -> freed(c, 0.99), run(1, 100)),
                row("only what is needed", List.of(1, 2), c -> tasks(c, 2, false), cores(3, 5)),
                row("gang whole", List.of(1, 2), c -> tasks(c, 2, true), cores(2, 5)),
                row("gang not in part", List.of(), c -> tasks(c, 3, true), cores(2, 5)),
                row("five percent", List.of(1, 2, 3, 4, 5), c -> tasks(c, 9, false), cores(9, 5)),
                row("some being stopped", List.of(1), c -> stopping(c, 4_000, 2), cores(3, 5)),
                row("share used up", List.of(), c -> stopping(c, 5_000, 1), cores(3, 5)),
                row("gang as a victim", List.of(1, 2), c -> c, gang(100, 1, 2)),
                row("gang with loss", List.of(3), c -> c, gang(200, 1, 2), run(3, 300)),
                row("large gang", List.of(), c -> c, gang(10, 1, 2, 3, 4, 5, 6)),
                row("standing", List.of(1), c -> c, standing(run(1, 500), 1, true)),
                row("standing needed", List.of(), c -> c, standing(run(1, 500), 1, false)),
                row(
                        "one absent standing task",
                        List.of(1),
                        c -> tasks(c, 2, false),
                        standing(run(1, 500), 1, true),
                        standing(run(2, 500), 1, true)),
                row("no ticket", List.of(), PreemptionPlannerTest::withoutTickets, run(1, 1)),
                row("room is free", List.of(), c -> room(c, 7), run(1, 1)));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void stopsJustTheRunsThatAreWorthIt(String name, List<Integer> expected, Case input) {
        List<UrgentStep> late = PreemptionPlanner.findLate(input.pool(), input.steps());
        PreemptionPlan plan =
                PreemptionPlanner.plan(input.pool(), late, input.runs(), input.rooms());

        assertThat(
                        plan.stops().stream()
                                .flatMap(stop -> stop.candidate().parts().stream())
                                .map(part -> part.run().task().index()))
                .containsExactlyInAnyOrderElementsOf(expected);
    }

    static Stream<Arguments> declinedCases() {
        return Stream.of(
                Arguments.of(Declined.LATE_ANYWAY, slack(input(run(1, 100)), 249)),
                Arguments.of(Declined.NO_CANDIDATE, input(priority(run(1, 100), 0))),
                Arguments.of(Declined.LOSS_TOO_LARGE, input(run(1, 2_561))),
                Arguments.of(Declined.TOO_MANY_STOPS, stopping(input(run(1, 1)), 5_000, 1)));
    }

    @ParameterizedTest
    @MethodSource("declinedCases")
    void tellsWhyNothingIsStopped(Declined reason, Case input) {
        PreemptionPlan plan =
                PreemptionPlanner.plan(input.pool(), input.steps(), input.runs(), input.rooms());
        assertThat(plan.declined()).containsExactly(Map.entry(step(1, false, 0).id(), reason));
    }

    private static Arguments row(
            String name,
            List<Integer> expected,
            UnaryOperator<Case> change,
            PreemptionCandidate... runs) {
        return Arguments.of(name, expected, change.apply(input(runs)));
    }

    private static Case input(PreemptionCandidate... runs) {
        Map<WorkerIncarnation, Resources> rooms = new LinkedHashMap<>();
        for (PreemptionCandidate run : runs) {
            run.parts().forEach(part -> rooms.put(part.worker(), Resources.NONE));
        }
        return new Case(POOL, List.of(step(1, false, 1_000)), List.of(runs), rooms);
    }

    private static UrgentStep step(int tasks, boolean gang, long slack) {
        StepId id = new StepId(new JobId("0000000000000001"), 0, 0);
        return new UrgentStep(id, tasks, gang, CORE, NOW + slack, 640, worker -> 1);
    }

    private static Case slack(Case input, long slack) {
        return new Case(input.pool(), List.of(step(1, false, slack)), input.runs(), input.rooms());
    }

    private static Case tasks(Case input, int tasks, boolean gang) {
        return new Case(
                input.pool(), List.of(step(tasks, gang, 1_000)), input.runs(), input.rooms());
    }

    private static Case freed(Case input, double perMillisecond) {
        PoolState pool = new PoolState(NOW, 200, 100_000, 0, perMillisecond);
        return new Case(pool, input.steps(), input.runs(), input.rooms());
    }

    private static Case stopping(Case input, long processorMillis, int tasks) {
        PoolState pool = new PoolState(NOW, 200, 100_000, processorMillis, 0);
        return tasks(new Case(pool, input.steps(), input.runs(), input.rooms()), tasks, false);
    }

    private static Case withoutTickets(Case input) {
        UrgentStep step = step(1, false, 1_000);
        UrgentStep unable =
                new UrgentStep(step.id(), 1, false, CORE, step.latestStart(), 640, worker -> 0);
        return new Case(input.pool(), List.of(unable), input.runs(), input.rooms());
    }

    private static Case room(Case input, int worker) {
        Map<WorkerIncarnation, Resources> rooms = new LinkedHashMap<>(input.rooms());
        rooms.put(worker(worker), CORE);
        return new Case(input.pool(), input.steps(), input.runs(), rooms);
    }

    private static PreemptionCandidate run(int number, long lost) {
        return gang(lost, number);
    }

    private static PreemptionCandidate[] cores(int count, long lost) {
        List<PreemptionCandidate> runs = new ArrayList<>();
        for (int number = 1; number <= count; number++) {
            runs.add(run(number, lost));
        }
        return runs.toArray(new PreemptionCandidate[0]);
    }

    private static PreemptionCandidate gang(long lost, int... members) {
        List<PreemptionCandidate.Part> parts = new ArrayList<>();
        for (int member : members) {
            StepId step = new StepId(new JobId("0000000000000002"), 0, 0);
            RunId run = new RunId(new WorkflowTaskId(step, member), 1);
            parts.add(new PreemptionCandidate.Part(run, worker(member), CORE));
        }
        return new PreemptionCandidate(
                parts,
                2,
                PreemptionLoss.SINCE_CHECKPOINT,
                lost,
                NOW + 9_000,
                0,
                false,
                Optional.empty(),
                false);
    }

    private static WorkerIncarnation worker(int number) {
        return new WorkerIncarnation(new WorkerId("w-" + number), 0);
    }

    private static PreemptionCandidate worthless(int number, long lost) {
        PreemptionCandidate run = run(number, lost);
        return new PreemptionCandidate(
                run.parts(),
                2,
                PreemptionLoss.WORTHLESS,
                lost,
                run.expectedEnd(),
                0,
                false,
                Optional.empty(),
                false);
    }

    private static PreemptionCandidate priority(PreemptionCandidate run, int priority) {
        return with(run, priority, 0, false, false);
    }

    private static PreemptionCandidate with(
            PreemptionCandidate run,
            int priority,
            int preemptions,
            boolean filler,
            boolean absenceAllowed) {
        return new PreemptionCandidate(
                run.parts(),
                priority,
                run.loss(),
                run.lostMilliseconds(),
                run.expectedEnd(),
                preemptions,
                filler,
                run.standingStep(),
                absenceAllowed);
    }

    private static PreemptionCandidate ending(PreemptionCandidate run, long end) {
        return new PreemptionCandidate(
                run.parts(),
                2,
                run.loss(),
                run.lostMilliseconds(),
                end,
                0,
                false,
                Optional.empty(),
                false);
    }

    private static PreemptionCandidate standing(
            PreemptionCandidate run, int step, boolean absenceAllowed) {
        return new PreemptionCandidate(
                run.parts(),
                1,
                PreemptionLoss.ABSENCE,
                run.lostMilliseconds(),
                Long.MAX_VALUE,
                0,
                false,
                Optional.of(new StepId(new JobId("0000000000000003"), 0, step)),
                absenceAllowed);
    }
}
