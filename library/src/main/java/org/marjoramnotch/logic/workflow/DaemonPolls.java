package org.marjoramnotch.logic.workflow;

import java.util.ArrayDeque;
import java.util.Deque;
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

    private record Poll(RequestHandle handle, long endsAt) {}

    private final Deque<Poll> waiting = new ArrayDeque<>();
    private final Map<VmId, Long> lastPolls = new HashMap<>();

    void add(long nowMilliseconds, RequestHandle handle, TakeAdviceQuestion poll) {
        lastPolls.put(poll.vm(), nowMilliseconds);
        Poll next = new Poll(handle, nowMilliseconds + poll.waitMilliseconds());
        // A daemon that can't reach the advisor polls again first and would get every question.
        if (poll.answer().isPresent() && poll.answer().get().granted().isEmpty()) {
            waiting.addFirst(next);
        } else {
            waiting.addLast(next);
        }
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
        return lastPolls.size();
    }

    /** Removes and returns the latest poll; an old one may be from a daemon that has died. */
    RequestHandle takeLatest() {
        return waiting.removeLast().handle();
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
