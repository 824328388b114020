package org.marjoramnotch.logic.job;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.identifier.TaskId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;

/**
 * Simulates the network between callers and a leader. Messages may be delayed, lost or duplicated.
 */
final class FakeNetwork {
    private static final int LATEST_COPY_MILLISECONDS = 20_000;

    final Map<TaskId, Integer> starts = new HashMap<>();
    private final TestCell cell;
    private final UniformRandomProvider random;
    private final TimerQueue messagesInTransit = new TimerQueue();
    private final Map<RequestHandle, Consumer<CellReply>> pendingReplies = new HashMap<>();
    private final int faultPercent;
    private long now;

    /** Whether the cell has a leader that can be reached. */
    boolean leaderUp = true;

    /** Whether messages are lost, delayed and duplicated. */
    boolean faulty = true;

    FakeNetwork(TestCell cell, UniformRandomProvider random, int faultPercent) {
        this.cell = cell;
        this.random = random;
        this.faultPercent = faultPercent;
    }

    void send(CellRequest request, Consumer<CellReply> answered) {
        if (isFault()) {
            messagesInTransit.schedule(
                    now + random.nextInt(LATEST_COPY_MILLISECONDS), () -> arrive(request, r -> {}));
        }
        if (!isFault()) {
            messagesInTransit.schedule(now + delay(), () -> arrive(request, answered));
        }
    }

    void started(TaskAttemptId attempt) {
        starts.merge(attempt.task(), 1, Integer::sum);
    }

    void tick(long trueNow) {
        now = trueNow;
        for (Map.Entry<RequestHandle, CellReply> reply :
                new LinkedHashMap<>(cell.replies).entrySet()) {
            Consumer<CellReply> answered = pendingReplies.remove(reply.getKey());
            if (answered != null && !isFault()) {
                messagesInTransit.schedule(now + delay(), () -> answered.accept(reply.getValue()));
            }
        }
        cell.replies.clear();
        messagesInTransit.runDue(now);
    }

    private void arrive(CellRequest request, Consumer<CellReply> answered) {
        if (leaderUp) {
            pendingReplies.put(cell.send(request), answered);
        }
    }

    private long delay() {
        return faulty && random.nextInt(20) == 0 ? random.nextInt(3_000) : random.nextInt(10);
    }

    private boolean isFault() {
        return faulty && random.nextInt(100) < faultPercent;
    }
}
