package org.marjoramnotch.logic.workflow;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.model.fleet.AdviceTiming;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.StepDefinition;
import org.marjoramnotch.model.workflow.WorkflowDraft;

/** The workload of each queue in the simulation. */
enum AdviceReplayKind {
    PERMIT(28.2, 1.6, 9.5, 8_900, 9_200, 640, 0, 1.5, 250, 20, 0.28, 0.7),
    BUNDLE(2.88, 2, 17, 18_000, 34_000, 4_800, 2, 2.2, 1_200, 390, 5.6, 0.35),
    WATCH(0.4, 1, 20, 18_000, 18_000, 320, 1, 2.2, 2_500, 450, 6.5, 0.35);

    final double arrivalsPerSecond;
    final double steps;
    final double width;
    final long processor;
    final long memory;
    final long estimate;
    final QueueDefinition queue;
    final double grantedShare;

    AdviceReplayKind(
            double arrivalsPerSecond,
            double steps,
            double width,
            long processor,
            long memory,
            long estimate,
            int priority,
            double stretch,
            long slack,
            double decision,
            double perWorker,
            double grantedShare) {
        this.arrivalsPerSecond = arrivalsPerSecond;
        this.steps = steps;
        this.width = width;
        this.processor = processor;
        this.memory = memory;
        this.estimate = estimate;
        this.grantedShare = grantedShare;
        String name = name().toLowerCase(Locale.ROOT);
        this.queue =
                new QueueDefinition(
                        new QueueName(name),
                        "callers.example",
                        "/" + name + "/",
                        WorkflowCell.POOL,
                        priority,
                        4,
                        stretch,
                        slack,
                        true,
                        Optional.of(new AdviceTiming(decision, perWorker, 2_500)));
    }

    /** Generates a random workflow. */
    WorkflowDraft draft(UniformRandomProvider random) {
        int count = Math.max(1, (int) Math.round(spread(random, steps, 0.4)));
        boolean filler = random.nextInt(100) < (this == BUNDLE ? 30 : 0);
        int spreadLimit = this == WATCH && random.nextInt(100) < 70 ? 1 : 0;
        List<StepDefinition> definitions =
                IntStream.range(0, count)
                        .mapToObj(
                                step ->
                                        StepDefinition.builder()
                                                .tasks((int) Math.ceil(spread(random, width, 0.6)))
                                                .demand(
                                                        new Resources(
                                                                (long)
                                                                        spread(
                                                                                random, processor,
                                                                                0.4),
                                                                (long) spread(random, memory, 0.4),
                                                                0))
                                                .estimateMilliseconds(estimate)
                                                .after(step == 0 ? List.of() : List.of(step - 1))
                                                .gang(this == BUNDLE && random.nextInt(100) < 8)
                                                .filler(filler)
                                                .standing(this == WATCH)
                                                .mostPerWorker(spreadLimit)
                                                .build())
                        .toList();
        return new WorkflowDraft("payload", definitions, Optional.empty());
    }

    /**
     * Returns a random value with the given mean and relative deviation, at most three times the
     * mean.
     */
    private static double spread(UniformRandomProvider random, double mean, double deviation) {
        double sum = IntStream.range(0, 12).mapToDouble(index -> random.nextDouble()).sum() - 6;
        double sigma = Math.sqrt(Math.log(1 + deviation * deviation));
        return Math.min(3 * mean, mean * Math.exp(sigma * sum - sigma * sigma / 2));
    }
}
