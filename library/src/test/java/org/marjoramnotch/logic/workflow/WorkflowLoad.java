package org.marjoramnotch.logic.workflow;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.fleet.AdviceTiming;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.PoolDefinition;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.AdviceAnswer;
import org.marjoramnotch.model.message.AdviceQuestion;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.CallTarget;
import org.marjoramnotch.model.message.CancelWorkflowRequest;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.message.TakeAdviceQuestion;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/**
 * Simulates load on a cell in virtual time: short, wide and standing workflows that need advice.
 */
final class WorkflowLoad {
    private static final int TEAMS = 20;
    private static final int LARGEST_FLEET = 246;
    private static final int RACK_WORKERS = 20;
    private static final long STANDING_MILLISECONDS = 40_000;
    private static final long POLL_WAIT_MILLISECONDS = 2_000;
    private static final double[] SIZES = {1, 1, 0.5, 2};
    private static final AdviceTiming TIMING = new AdviceTiming(30, 0.5, 2_500);

    private record Standing(CallTarget target, long endsAt) {}

    private record Answer(int daemon, long at, AdviceAnswer answer) {}

    private final WorkflowCell cell;
    private final UniformRandomProvider random;
    private final int workers;
    private final Map<RequestHandle, Integer> polls = new HashMap<>();
    private final List<Answer> answers = new ArrayList<>();
    private final Deque<Standing> standing = new ArrayDeque<>();
    private long submitted;

    WorkflowLoad(WorkflowCell cell, int workers, long seed) {
        this.cell = cell;
        this.workers = workers;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Enrolls the workers and submits the first standing workflows. */
    void start() {
        cell.request(new ApplyConfiguration(configuration()));
        cell.run(100);
        for (int index = 0; index < workers; index++) {
            double size = SIZES[index % SIZES.length];
            Resources capacity = new Resources((long) (64_000 * size), (long) (128_000 * size), 0);
            List<String> labels =
                    List.of(index % 3 == 2 ? "b" : "a", "rack-" + index / RACK_WORKERS);
            cell.addWorker("w-%03d".formatted(index), capacity, 1, labels);
        }
        cell.run(500);
        pollAll();
        IntStream.range(0, Math.max(1, 8 * workers / LARGEST_FLEET)).forEach(i -> submitWatch());
    }

    /** Polls a new leader for questions from all daemons. */
    void pollAll() {
        answers.clear();
        IntStream.range(0, workers).forEach(daemon -> poll(daemon, Optional.empty()));
    }

    /** Advances the time under load; short workflows arrive at a multiple of their usual rate. */
    void run(long milliseconds, double rateFactor) {
        long end = cell.now() + milliseconds;
        double scale = (double) workers / LARGEST_FLEET;
        while (cell.now() < end) {
            submitAtRate(28 * scale * rateFactor, this::submitPermit);
            submitAtRate(2.9 * scale, this::submitBundle);
            submitAtRate(0.2 * scale, this::submitWatch);
            while (!standing.isEmpty() && standing.peekFirst().endsAt() <= cell.now()) {
                cell.request(new CancelWorkflowRequest(standing.removeFirst().target()));
            }
            cell.run(5);
            processAdvice();
        }
    }

    private void submitAtRate(double perSecond, Runnable submission) {
        if (random.nextDouble() < perSecond * 5 / 1_000) {
            submission.run();
        }
    }

    private void submitPermit() {
        List<StepDefinition> steps = new ArrayList<>();
        int count = random.nextDouble() < 0.6 ? 2 : 1;
        for (int step = 0; step < count; step++) {
            steps.add(step(step, 10, 8_900, 680).build());
        }
        submit("/permit/", steps);
    }

    private void submitBundle() {
        List<StepDefinition> steps = new ArrayList<>();
        boolean gang = random.nextInt(5) == 0;
        for (int step = 0; step < 2; step++) {
            steps.add(step(step, 17, 18_000, 9_000).gang(gang).sameRack(gang).build());
        }
        submit("/bundle/", steps);
    }

    private void submitWatch() {
        StepDefinition step =
                step(0, 20, 18_000, 1_000_000)
                        .standing(true)
                        .latencyTargetMilliseconds(50)
                        .mostPerWorker(1)
                        .build();
        standing.add(
                new Standing(submit("/watch/", List.of(step)), cell.now() + STANDING_MILLISECONDS));
    }

    private StepDefinition.Builder step(int step, int tasks, long processorMillis, long estimate) {
        long demand = processorMillis * (80 + random.nextInt(41)) / 100;
        return StepDefinition.builder()
                .tasks(tasks)
                .demand(new Resources(demand, demand, 0))
                .estimateMilliseconds(estimate)
                .after(step == 0 ? List.of() : List.of(step - 1));
    }

    private CallTarget submit(String prefix, List<StepDefinition> steps) {
        submitted++;
        CallTarget target =
                new CallTarget(
                        "callers.example",
                        prefix + "%016x".formatted(submitted),
                        Optional.of("key-" + random.nextInt(TEAMS)));
        cell.request(
                new SubmitWorkflowRequest(
                        target, new WorkflowDraft("payload", steps, Optional.empty())));
        return target;
    }

    private void poll(int daemon, Optional<AdviceAnswer> answer) {
        TakeAdviceQuestion poll =
                new TakeAdviceQuestion(new VmId("vm-" + daemon), answer, POLL_WAIT_MILLISECONDS);
        polls.put(cell.request(poll), daemon);
    }

    /** Receives questions, sends due answers and polls again. */
    private void processAdvice() {
        for (RequestHandle handle : List.copyOf(polls.keySet())) {
            CellReply reply = cell.replies.remove(handle);
            if (reply instanceof AdviceQuestion question) {
                answer(polls.remove(handle), question);
            } else if (reply != null) {
                poll(polls.remove(handle), Optional.empty());
            }
        }
        for (Answer due : List.copyOf(answers)) {
            if (due.at() <= cell.now()) {
                answers.remove(due);
                poll(due.daemon(), Optional.of(due.answer()));
            }
        }
    }

    private void answer(int daemon, AdviceQuestion question) {
        Map<WorkerId, String> granted = new HashMap<>();
        for (WorkerId worker : question.workers()) {
            if (random.nextInt(4) > 0) {
                granted.put(worker, "ticket");
            }
        }
        long duration = (long) (30 + 0.5 * question.workers().size());
        answers.add(
                new Answer(
                        daemon,
                        cell.now() + duration,
                        new AdviceAnswer(question.question(), Optional.of(granted), 2_500)));
    }

    private FleetConfiguration configuration() {
        long limit = 64_000L * workers / 5;
        List<TeamDefinition> teams =
                IntStream.range(0, TEAMS)
                        .mapToObj(
                                team ->
                                        new TeamDefinition(
                                                new TeamName("team-" + team),
                                                List.of("key-" + team),
                                                1 + team % 3,
                                                new Resources(limit, 0, 0)))
                        .toList();
        List<QueueDefinition> queues =
                List.of(
                        TestFleet.queue("permit", "/permit/", 0, false, Optional.of(TIMING)),
                        TestFleet.queue("bundle", "/bundle/", 1, false, Optional.of(TIMING)),
                        TestFleet.queue("watch", "/watch/", 0, false, Optional.of(TIMING)));
        return new FleetConfiguration(
                1,
                "document",
                queues,
                List.of(new PoolDefinition(WorkflowCell.POOL, false, false)),
                teams);
    }
}
