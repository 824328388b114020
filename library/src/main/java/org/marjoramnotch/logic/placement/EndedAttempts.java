package org.marjoramnotch.logic.placement;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.marjoramnotch.model.endpoint.EndedSequences;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.VmId;

/**
 * Remembers which attempts have ended, so that a late reservation cannot revive one.
 *
 * <p>Each entry process has a window of one bit a sequence. A sequence that has left the window
 * counts as ended. Of each VM the latest {@link #MAXIMUM_INCARNATIONS} processes are kept; a leader
 * places nothing for a process that another one of its VM has replaced.
 */
final class EndedAttempts {
    static final int WINDOW_SIZE = 1 << 18;
    static final int MAXIMUM_INCARNATIONS = 4;

    private final Map<VmId, LinkedHashMap<String, Window>> windows = new LinkedHashMap<>();

    /** Tells whether the attempt has ended; open attempts must be looked up before. */
    boolean contains(AttemptId attempt) {
        Map<String, Window> ofEntry = windows.get(attempt.entry());
        Window window = ofEntry == null ? null : ofEntry.get(attempt.incarnation());
        return window != null && window.contains(attempt.sequence());
    }

    /** Records the end of an attempt. */
    void add(AttemptId attempt) {
        LinkedHashMap<String, Window> ofEntry =
                windows.computeIfAbsent(attempt.entry(), entry -> new LinkedHashMap<>());
        Window window = ofEntry.computeIfAbsent(attempt.incarnation(), incarnation -> new Window());
        window.add(attempt.sequence());
        if (ofEntry.size() > MAXIMUM_INCARNATIONS) {
            Iterator<String> oldest = ofEntry.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    List<EndedSequences> snapshot() {
        List<EndedSequences> all = new ArrayList<>();
        windows.forEach(
                (entry, ofEntry) ->
                        ofEntry.forEach(
                                (incarnation, window) ->
                                        all.add(window.snapshot(entry, incarnation))));
        return all;
    }

    void restore(List<EndedSequences> all) {
        windows.clear();
        for (EndedSequences sequences : all) {
            windows.computeIfAbsent(sequences.entry(), entry -> new LinkedHashMap<>())
                    .put(sequences.incarnation(), new Window(sequences));
        }
    }

    /** The ended sequences of one process. */
    private static final class Window {
        private final BitSet ended;
        private long first;

        Window() {
            this.ended = new BitSet();
        }

        Window(EndedSequences sequences) {
            this.first = sequences.first();
            this.ended =
                    BitSet.valueOf(sequences.words().stream().mapToLong(Long::longValue).toArray());
        }

        boolean contains(long sequence) {
            if (sequence < first) {
                return true;
            }
            long offset = sequence - first;
            return offset < WINDOW_SIZE && ended.get((int) offset);
        }

        void add(long sequence) {
            if (sequence < first) {
                return;
            }
            if (sequence - first >= WINDOW_SIZE) {
                advanceTo(sequence - WINDOW_SIZE / 2);
            }
            ended.set((int) (sequence - first));
        }

        private void advanceTo(long newFirst) {
            long distance = newFirst - first;
            BitSet kept =
                    distance >= WINDOW_SIZE ? new BitSet() : ended.get((int) distance, WINDOW_SIZE);
            ended.clear();
            ended.or(kept);
            first = newFirst;
        }

        EndedSequences snapshot(VmId entry, String incarnation) {
            List<Long> words = new ArrayList<>();
            for (long word : ended.toLongArray()) {
                words.add(word);
            }
            return new EndedSequences(entry, incarnation, first, words);
        }
    }
}
