package org.marjoramnotch.logic.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Counts what became of the submissions of a replay. */
final class ReplayResult {
    private final List<ReplaySubmission> all = new ArrayList<>();
    private long countedFrom;

    void add(ReplaySubmission submission) {
        all.add(submission);
    }

    int size() {
        return all.size();
    }

    long accepted() {
        return counted().filter(one -> !one.refused()).count();
    }

    /** Leaves out submissions before a time. */
    void countFrom(long milliseconds) {
        countedFrom = milliseconds;
    }

    Stream<ReplaySubmission> counted() {
        return all.stream().filter(one -> one.at >= countedFrom);
    }

    long count(boolean wide, int lateness) {
        return counted()
                .filter(one -> one.wide == wide && !one.refused() && one.lateness() == lateness)
                .count();
    }

    long refused(boolean wide) {
        return counted().filter(one -> one.wide == wide && one.refused()).count();
    }

    long refusedWithRoom() {
        return counted().filter(one -> one.refused() && one.roomFree).count();
    }

    /** Returns the refusals of short work more than 2 s after the last task of the team waited. */
    long refusedAfterBacklog() {
        return counted().filter(one -> !one.wide && one.refused() && one.backlogGone).count();
    }

    long longestPause() {
        return counted().mapToLong(one -> one.retryAfter).max().orElse(0);
    }

    @Override
    public String toString() {
        String text = "";
        for (boolean wide : new boolean[] {false, true}) {
            text +=
                    "%s: in time %d, late %d, worthless %d, refused %d; "
                            .formatted(
                                    wide ? "wide" : "short",
                                    count(wide, 0),
                                    count(wide, 1),
                                    count(wide, 2),
                                    refused(wide));
        }
        return text
                + "refused with room %d, after the backlog %d, longest pause %d ms"
                        .formatted(refusedWithRoom(), refusedAfterBacklog(), longestPause());
    }
}
