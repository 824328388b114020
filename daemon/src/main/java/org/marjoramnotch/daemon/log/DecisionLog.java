package org.marjoramnotch.daemon.log;

import java.util.HashMap;
import java.util.Map;
import org.jboss.logging.Logger;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.model.time.Clock;

/**
 * Writes decisions as log lines. The number of lines of each event per second is limited; the next
 * line of the event contains the number of suppressed ones.
 */
public final class DecisionLog {
    private static final Logger LOGGER = Logger.getLogger(DecisionLog.class);
    private static final int MAXIMUM_LINES_PER_SECOND = 200;

    /**
     * Limits of events that callers cause. The lines that are left out differ from the written ones
     * in the call alone, as a change of the version has its own line.
     */
    private static final Map<String, Integer> MAXIMUM_LINES_OF_CALLS =
            Map.of("call_refused", 20, "configuration_read", 2, "rules_read", 2);

    private static final long WINDOW_MILLISECONDS = 1_000;

    private static final class Window {
        long startedMilliseconds;
        int lines;
        long suppressed;
    }

    private final Clock clock;
    private final Map<String, Window> windows = new HashMap<>();

    /** Creates a log that measures the limit by the given clock. */
    public DecisionLog(Clock clock) {
        this.clock = clock;
    }

    /** Writes a decision unless the limit of its event for the current second is reached. */
    public synchronized void write(DecisionLogEntry decision) {
        long now = clock.nowMilliseconds();
        Window window = windows.computeIfAbsent(decision.event(), event -> new Window());
        if (now - window.startedMilliseconds >= WINDOW_MILLISECONDS) {
            window.startedMilliseconds = now;
            window.lines = 0;
        }
        window.lines++;
        if (window.lines
                > MAXIMUM_LINES_OF_CALLS.getOrDefault(decision.event(), MAXIMUM_LINES_PER_SECOND)) {
            window.suppressed++;
            return;
        }
        LogEvent line = LogEvent.of(decision.event());
        for (int field = 0; field + 1 < decision.fields().size(); field += 2) {
            line.with(
                    String.valueOf(decision.fields().get(field)), decision.fields().get(field + 1));
        }
        if (window.suppressed > 0) {
            line.with("left_out", window.suppressed);
            window.suppressed = 0;
        }
        line.info(LOGGER);
    }
}
