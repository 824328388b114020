package org.marjoramnotch.daemon.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.logic.leader.DecisionLogEntry;

class DecisionLogTest {
    private final Logger logger = Logger.getLogger(DecisionLog.class.getName());
    private final LineCollector lines = new LineCollector();
    private long now = 10_000;
    private final DecisionLog log = new DecisionLog(() -> now);

    @BeforeEach
    void collect() {
        logger.addHandler(lines);
    }

    @AfterEach
    void stopCollecting() {
        logger.removeHandler(lines);
    }

    @ParameterizedTest
    @CsvSource({"run_started, 200", "call_refused, 20", "configuration_read, 2", "rules_read, 2"})
    void linesOfEachEventAreLimitedAndTheNextTellsHowManyAreLeftOut(String event, int limit) {
        for (int line = 0; line < limit + 3; line++) {
            log.write(DecisionLogEntry.of(event, "number", line));
        }
        assertThat(lines.messages).hasSize(limit);

        now += 1_000;
        log.write(DecisionLogEntry.of(event, "number", "next"));
        assertThat(lines.messages).last().isEqualTo("event=" + event + " number=next left_out=3");
    }

    private static final class LineCollector extends Handler {
        private final List<String> messages = new ArrayList<>();

        @Override
        public void publish(LogRecord logged) {
            messages.add(logged.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }
}
