package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.PoolDefinition;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.CallTarget;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;
import org.marjoramnotch.model.workflow.WorkflowState;

/**
 * Replays short and wide work of ten teams in virtual time on 20 workers of 16 cores. Each team may
 * use a fifth of the cores. At the usual rates, short work needs 18% and wide work 38% of them.
 */
final class OverloadReplay {
    static final int TEAMS = 10;
    private static final int LOWEST_PRIORITY = 2;
    private static final int WORKERS = 20;
    private static final long WORKER_PROCESSOR_MILLIS = 16_000;
    private static final long LIMIT_PROCESSOR_MILLIS = 64_000;
    private static final double SHORT_PER_SECOND = 14;
    private static final double WIDE_PER_SECOND = 0.8;
    private static final long SHORT_MILLISECONDS = 640;
    private static final long WIDE_MILLISECONDS = 5_000;
    private static final int WIDE_TASKS = 15;
    private static final int SHORT_TASKS = 4;
    private static final double STRETCH = 1.5;
    private static final long SLACK_MILLISECONDS = 300;
    private static final long IN_FLIGHT_MILLISECONDS = 30;
    private static final long TIME_STEP_MILLISECONDS = 5;

    private record Open(JobId id, ReplaySubmission submitted) {}

    final WorkflowCell cell;
    final ReplayResult result = new ReplayResult();
    private final UniformRandomProvider random;
    private final UniformRandomProvider runRandom;
    private final List<Open> open = new ArrayList<>();
    private final long[] lastBacklogAt = new long[TEAMS];
    private long version;

    OverloadReplay(long seed, double shortRunFactor) {
        cell = new WorkflowCell(seed);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        runRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1_000);
        cell.answerListsPromptly();
        cell.checkEvery(500);
        configure(LIMIT_PROCESSOR_MILLIS);
        for (int index = 0; index < WORKERS; index++) {
            cell.addWorker("w-" + index, new Resources(WORKER_PROCESSOR_MILLIS, 64_000, 0));
        }
        cell.workers
                .values()
                .forEach(
                        worker ->
                                worker.useRunTimes(
                                        step ->
                                                runTime(
                                                        step.estimateMilliseconds(),
                                                        shortRunFactor)));
        cell.run(2_000);
    }

    private long runTime(long estimate, double shortRunFactor) {
        double factor = estimate == SHORT_MILLISECONDS ? shortRunFactor : 1;
        return (long) (estimate * factor * (0.9 + 0.2 * runRandom.nextDouble()));
    }

    /** Sets the upper limit of all teams; 0 lifts it. */
    void configure(long limitProcessorMillis) {
        version++;
        List<TeamDefinition> teams =
                IntStream.range(0, TEAMS)
                        .mapToObj(
                                team ->
                                        new TeamDefinition(
                                                new TeamName("team-" + team),
                                                List.of("key-" + team),
                                                1,
                                                new Resources(limitProcessorMillis, 0, 0)))
                        .toList();
        cell.request(
                new ApplyConfiguration(
                        new FleetConfiguration(
                                version,
                                "document " + version,
                                List.of(queue("short", 0), queue("wide", LOWEST_PRIORITY)),
                                List.of(new PoolDefinition(WorkflowCell.POOL, false, false)),
                                teams)));
        cell.run(50);
    }

    private static QueueDefinition queue(String name, int priority) {
        return new QueueDefinition(
                new QueueName(name),
                "callers.example",
                "/" + name + "/",
                WorkflowCell.POOL,
                priority,
                4,
                STRETCH,
                SLACK_MILLISECONDS,
                true,
                Optional.empty());
    }

    /**
     * Advances the time under load.
     *
     * @param shortFactor multiple of the usual rate of short work of all teams
     * @param wideFactor multiple of the usual rate of wide work of all teams
     * @param burstTeam the team in a burst, or -1
     * @param burstFactor multiple of the rates of this team
     */
    void run(
            long milliseconds,
            double shortFactor,
            double wideFactor,
            int burstTeam,
            double burstFactor) {
        long end = cell.now() + milliseconds;
        while (cell.now() < end) {
            for (int team = 0; team < TEAMS; team++) {
                double factor = team == burstTeam ? burstFactor : 1;
                if (isDue(SHORT_PER_SECOND * shortFactor * factor / TEAMS)) {
                    submit(team, false);
                }
                if (isDue(WIDE_PER_SECOND * wideFactor * factor / TEAMS)) {
                    submit(team, true);
                }
            }
            cell.run(TIME_STEP_MILLISECONDS);
            settle();
        }
    }

    private boolean isDue(double perSecond) {
        return random.nextDouble() < perSecond * TIME_STEP_MILLISECONDS / 1_000;
    }

    private void submit(int team, boolean wide) {
        int count = wide || random.nextDouble() < 0.6 ? 2 : 1;
        long estimate = wide ? WIDE_MILLISECONDS : SHORT_MILLISECONDS;
        StepDefinition step =
                StepDefinition.builder()
                        .tasks(wide ? WIDE_TASKS : SHORT_TASKS)
                        .demand(new Resources(1_000, 100, 0))
                        .estimateMilliseconds(estimate)
                        .build();
        List<StepDefinition> steps =
                IntStream.range(0, count).mapToObj(number -> after(step, number)).toList();
        long objective = (long) (count * estimate * STRETCH) + SLACK_MILLISECONDS;
        ReplaySubmission submitted = new ReplaySubmission(wide, team, cell.now(), objective);
        result.add(submitted);
        String id = "%016x".formatted(result.size());
        int priority = wide ? LOWEST_PRIORITY : 0;
        boolean roomFree = isRoomFree(team, priority, step);
        CellReply reply =
                cell.replies.get(
                        cell.request(
                                new SubmitWorkflowRequest(
                                        new CallTarget(
                                                "callers.example",
                                                (wide ? "/wide/" : "/short/") + id,
                                                Optional.of("key-" + team)),
                                        new WorkflowDraft("", steps, Optional.empty()))));
        if (reply instanceof Refused refused) {
            submitted.retryAfter = refused.refusal().retryAfterMilliseconds().orElse(1L);
            submitted.roomFree = roomFree;
            // Starts in flight take capacity that the ledger still shows as free.
            cell.runLater(
                    IN_FLIGHT_MILLISECONDS,
                    () -> submitted.roomFree &= isRoomFree(team, priority, step));
            submitted.backlogGone = cell.now() > lastBacklogAt[team] + 2_000;
        } else {
            open.add(new Open(new JobId(id), submitted));
        }
    }

    private static StepDefinition after(StepDefinition step, int number) {
        return StepDefinition.builder()
                .tasks(step.tasks())
                .demand(step.demand())
                .estimateMilliseconds(step.estimateMilliseconds())
                .after(number == 0 ? List.of() : List.of(number - 1))
                .build();
    }

    /** Returns whether team and pool have capacity for a step besides what waits before it. */
    private boolean isRoomFree(int team, int priority, StepDefinition step) {
        TeamName name = new TeamName("team-" + team);
        long need = step.tasks() * step.demand().processorMillis();
        long free =
                cell.ledger.workers().stream()
                        .mapToLong(
                                worker ->
                                        worker.worker().capacity().processorMillis()
                                                - worker.reserved().processorMillis())
                        .sum();
        long limit = cell.ledger.team(name).orElseThrow().upperLimit().processorMillis();
        long teamFree =
                limit == 0
                        ? Long.MAX_VALUE
                        : limit
                                - cell.ledger.usageOf(name).processorMillis()
                                - waiting(priority, Optional.of(name));
        return need <= teamFree && need + waiting(priority, Optional.empty()) <= free;
    }

    /** Returns the demand of ready and of accepted tasks that wait, of a team or of all teams. */
    private long waiting(int priority, Optional<TeamName> team) {
        long sum = 0;
        for (Open entry : open) {
            ReplaySubmission one = entry.submitted();
            boolean counted =
                    (one.wide ? LOWEST_PRIORITY : 0) <= priority
                            && team.map(name -> name.equals(new TeamName("team-" + one.team)))
                                    .orElse(true);
            if (counted && cell.ledger.workflow(entry.id()).isEmpty()) {
                sum += 1_000L * (one.wide ? WIDE_TASKS : SHORT_TASKS);
            }
        }
        for (WorkflowEntry entry : cell.ledger.active()) {
            boolean counted =
                    entry.queue().priority() <= priority
                            && (team.isEmpty() || entry.workflow().team().equals(team));
            for (int step = 0; counted && step < entry.steps(0).size(); step++) {
                StepTasks tasks = entry.steps(0).get(step);
                if (entry.isReady(0, step)) {
                    sum +=
                            tasks.definition().demand().processorMillis()
                                    * tasks.tasks().stream().filter(TaskState::isWaiting).count();
                }
            }
        }
        return sum;
    }

    private void settle() {
        open.removeIf(
                entry -> {
                    boolean complete =
                            cell.ledger
                                    .workflow(entry.id())
                                    .map(workflow -> workflow.state() == WorkflowState.COMPLETE)
                                    .orElse(false);
                    if (complete) {
                        entry.submitted().endedAt = cell.now();
                    }
                    return complete;
                });
        for (int team = 0; team < TEAMS; team++) {
            if (waiting(LOWEST_PRIORITY, Optional.of(new TeamName("team-" + team))) > 0) {
                lastBacklogAt[team] = cell.now();
            }
        }
    }
}
