package org.marjoramnotch.daemon.log;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.time.Clock;

/**
 * Holds log lines until a thread of its own has written them, so that no other thread ever waits
 * for the reader of the logs.
 *
 * <p>The size is bounded in bytes. Lines that do not fit are dropped and counted by event, ordinary
 * ones first; a line between the last one before and the first one after them says how many.
 */
final class LineQueue implements LineSink {
    /** Name of the event whose line stands in place of dropped lines. */
    static final String DROPPED_EVENT = "log_lines_dropped";

    /** What a line takes beside its characters. */
    private static final int LINE_OVERHEAD_BYTES = 32;

    /** The rest is left for lines of starts, stops and dependencies. */
    private static final double ORDINARY_SHARE = 0.75;

    /** Ordinary lines are taken again below this share, in one piece instead of one by one. */
    private static final double RESUME_SHARE = 0.5;

    /** Lines that come within this time after the first are written together. */
    private static final long GATHER_MILLISECONDS = 10;

    private final int capacityBytes;
    private final int batchBytes;
    private final Clock clock;
    private final Clock wallClock;
    private final LineFormatter lineFormatter = new LineFormatter();
    private final Deque<byte[]> lines = new ArrayDeque<>();
    private final DroppedLines gap = new DroppedLines();
    private final DroppedLines dropped = new DroppedLines();
    private long gapBegan;
    private int bytes;
    private boolean refusesOrdinary;
    private boolean writerWaits;
    private boolean writing;
    private boolean urgent;

    /**
     * Creates an empty queue.
     *
     * @param capacityBytes how much it holds
     * @param batchBytes how much is written at once, unless a single line is longer
     * @param clock measures the wait for written lines
     * @param wallClock the Unix time in milliseconds
     */
    LineQueue(int capacityBytes, int batchBytes, Clock clock, Clock wallClock) {
        this.capacityBytes = capacityBytes;
        this.batchBytes = batchBytes;
        this.clock = clock;
        this.wallClock = wallClock;
    }

    @Override
    public synchronized void write(LinePriority priority, byte[] line) {
        if (!hasRoom(priority, line)) {
            addToGap(LineEvents.of(line));
            return;
        }
        if (!gap.isEmpty()) {
            append(endGap());
        }
        append(line);
        if (writerWaits) {
            notifyAll();
        }
    }

    /**
     * Waits for lines and returns those to write next, or null if the wait ended without any. The
     * lines count as written once this is called again.
     */
    synchronized byte @Nullable [] take() throws InterruptedException {
        writing = false;
        notifyAll();
        if (isEmpty()) {
            writerWaits = true;
            while (isEmpty() && !urgent) {
                wait();
            }
            writerWaits = false;
            if (!urgent && bytes < batchBytes) {
                wait(GATHER_MILLISECONDS);
            }
        }
        if (lines.isEmpty() && !gap.isEmpty()) {
            append(endGap());
        }
        if (lines.isEmpty()) {
            urgent = false;
            return null;
        }
        writing = true;
        return nextBatch();
    }

    /** Counts the lines of a batch that could not be written. */
    synchronized void onWriteFailed(byte[] batch) {
        for (String line : new String(batch, StandardCharsets.UTF_8).split("\n")) {
            String event = LineEvents.of(line);
            if (!event.equals(DROPPED_EVENT)) {
                addToGap(event);
            }
        }
    }

    /** Waits until all lines are written, for a limited time; returns whether they are. */
    synchronized boolean drain(long limitMilliseconds) {
        long end = clock.nowMilliseconds() + limitMilliseconds;
        urgent = true;
        notifyAll();
        try {
            while (writing || !isEmpty()) {
                long rest = end - clock.nowMilliseconds();
                if (rest <= 0) {
                    return false;
                }
                wait(rest);
            }
            return true;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Returns how many lines were dropped so far, by event. */
    synchronized Map<String, Long> dropped() {
        return dropped.byEvent();
    }

    private boolean isEmpty() {
        return lines.isEmpty() && gap.isEmpty();
    }

    private boolean hasRoom(LinePriority priority, byte[] line) {
        int size = bytes + line.length + LINE_OVERHEAD_BYTES;
        if (priority == LinePriority.LIFECYCLE) {
            return size <= capacityBytes;
        }
        boolean resumed = !refusesOrdinary || bytes <= capacityBytes * RESUME_SHARE;
        refusesOrdinary = !resumed || size > capacityBytes * ORDINARY_SHARE;
        return !refusesOrdinary;
    }

    private void append(byte[] line) {
        lines.add(line);
        bytes += line.length + LINE_OVERHEAD_BYTES;
    }

    private void addToGap(String event) {
        if (gap.isEmpty()) {
            gapBegan = wallClock.nowMilliseconds();
        }
        gap.add(event);
        dropped.add(event);
    }

    private byte[] endGap() {
        String message =
                LogEvent.of(DROPPED_EVENT)
                        .with("lines", gap.count())
                        .with("since_ms", wallClock.nowMilliseconds() - gapBegan)
                        .with("events", gap)
                        .with("total", dropped.count())
                        .toString();
        gap.clear();
        LogRecord line = new LogRecord(Level.WARNING, message);
        line.setLoggerName(LineQueue.class.getName());
        return lineFormatter.format(line).getBytes(StandardCharsets.UTF_8);
    }

    private byte[] nextBatch() {
        int count = 0;
        int total = 0;
        for (byte[] line : lines) {
            if (count > 0 && total + line.length > batchBytes) {
                break;
            }
            total += line.length;
            count++;
        }
        byte[] batch = new byte[total];
        int position = 0;
        for (; count > 0; count--) {
            byte[] line = lines.remove();
            System.arraycopy(line, 0, batch, position, line.length);
            position += line.length;
            bytes -= line.length + LINE_OVERHEAD_BYTES;
        }
        return batch;
    }
}
