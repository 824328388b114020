package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.TakeAdviceQuestion;

/** The daemons that poll for questions to the placement advisor. */
final class DaemonPolls {
    /** Longer than a daemon takes for a question or a poll without one. */
    private static final long ACTIVE_MILLISECONDS = 3_000;

    /** Weight of one answer; a few answers outweigh those before. */
    private static final double LEARNING_RATE = 0.3;

    /**
     * A poll.
     *
     * @param failed whether the daemon could not reach the advisor with its last question
     */
    private record Poll(VmId vm, RequestHandle handle, long endsAt, boolean failed) {}

    private record Rank(boolean failed, double delay) {}

    private static final Comparator<Rank> ORDER =
            Comparator.comparing(Rank::failed).thenComparingDouble(Rank::delay);

    /** In the order of their arrival. */
    private final List<Poll> waiting = new ArrayList<>();

    private final Map<VmId, Long> lastPolls = new HashMap<>();
    private final Map<VmId, Double> delays = new HashMap<>();

    void add(long nowMilliseconds, RequestHandle handle, TakeAdviceQuestion poll) {
        lastPolls.put(poll.vm(), nowMilliseconds);
        boolean failed = poll.answer().isPresent() && poll.answer().get().granted().isEmpty();
        long endsAt = nowMilliseconds + poll.waitMilliseconds();
        waiting.add(new Poll(poll.vm(), handle, endsAt, failed));
    }

    /** Learns how much longer an answer took than the advisor itself needs for it. */
    void onAnswer(VmId vm, long delayMilliseconds) {
        delays.merge(
                vm,
                (double) delayMilliseconds,
                (mean, delay) -> mean + LEARNING_RATE * (delay - mean));
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Returns how many daemons wait for a question. */
    int idle() {
        return waiting.size();
    }

    /** Returns how many daemons have polled lately. */
    int active(long nowMilliseconds) {
        lastPolls.values().removeIf(at -> nowMilliseconds - at > ACTIVE_MILLISECONDS);
        delays.keySet().retainAll(lastPolls.keySet());
        return lastPolls.size();
    }

    /**
     * Removes and returns the poll of the daemon that passes answers on fastest. Of equal ones it
     * is the latest, since an old poll may be from a daemon that has died. A daemon that can't
     * reach the advisor comes last; it polls again first and would get every question.
     */
    RequestHandle takeFastest() {
        Poll best = waiting.get(waiting.size() - 1);
        for (int index = waiting.size() - 2; index >= 0; index--) {
            Poll other = waiting.get(index);
            if (ORDER.compare(rank(other), rank(best)) < 0) {
                best = other;
            }
        }
        waiting.remove(best);
        return best.handle();
    }

    private Rank rank(Poll poll) {
        return new Rank(poll.failed(), delays.getOrDefault(poll.vm(), 0.0));
    }

    /** Answers the polls that have waited long enough. */
    void endExpired(long nowMilliseconds, LeaderOutput output) {
        for (Poll poll : List.copyOf(waiting)) {
            if (poll.endsAt() <= nowMilliseconds) {
                waiting.remove(poll);
                output.reply(poll.handle(), new Done());
            }
        }
    }
}
