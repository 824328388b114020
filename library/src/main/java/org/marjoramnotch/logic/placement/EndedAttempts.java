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
 * Records which attempts have ended, so that a delayed reservation cannot reopen one.
 *
 * <p>Each entry process has a sliding window with one bit per attempt sequence number. A sequence
 * number below the window counts as ended. Only the latest {@link #MAXIMUM_INCARNATIONS} processes
 * of each VM are kept; this is sufficient because a leader does not place requests of a process
 * that a newer one on the same VM has replaced.
 */
final class EndedAttempts {
    static final int WINDOW_SIZE = 1 << 18;
    static final int MAXIMUM_INCARNATIONS = 4;

    private final Map<VmId, LinkedHashMap<String, Window>> windows = new LinkedHashMap<>();

    /**
     * Returns whether the attempt has ended. Callers must check for an open attempt first, because
     * an open attempt below the window is reported as ended too.
     */
    boolean contains(AttemptId attempt) {
        Map<String, Window> entryWindows = windows.get(attempt.entry());
        Window window = entryWindows == null ? null : entryWindows.get(attempt.incarnation());
        return window != null && window.contains(attempt.sequence());
    }

    /** Marks an attempt as ended. */
    void add(AttemptId attempt) {
        LinkedHashMap<String, Window> entryWindows =
                windows.computeIfAbsent(attempt.entry(), entry -> new LinkedHashMap<>());
        Window window =
                entryWindows.computeIfAbsent(attempt.incarnation(), incarnation -> new Window());
        window.add(attempt.sequence());
        if (entryWindows.size() > MAXIMUM_INCARNATIONS) {
            Iterator<String> oldest = entryWindows.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    List<EndedSequences> snapshot() {
        List<EndedSequences> all = new ArrayList<>();
        windows.forEach(
                (entry, entryWindows) ->
                        entryWindows.forEach(
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

    /** The ended attempt sequence numbers of one entry process. */
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
