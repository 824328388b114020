package org.marjoramnotch.daemon.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.marjoramnotch.daemon.duty.SystemClock;

/** Guards against threads that wait for the reader of the logs, and lines lost without a count. */
@Timeout(20)
class LineQueueTest {
    private static final int CAPACITY = 4_096;
    private static final int BATCH = 256;
    private static final int MANY = 500;

    private final LineQueue queue = new LineQueue(CAPACITY, BATCH, new SystemClock(), () -> 1_000);
    private final StallingStream reader = new StallingStream();
    private final Thread writer = new Thread(new LineWriter(queue, reader), "log");

    /** What the reader of the logs does while many lines are written. */
    private enum Reader {
        SOUND,
        STALLED,
        SLOW,
        CLOSED
    }

    @AfterEach
    void stop() throws InterruptedException {
        reader.read();
        writer.interrupt();
        writer.join();
    }

    private void start() {
        writer.setDaemon(true);
        writer.start();
    }

    private void write(LinePriority priority, String event, int number) {
        String line = "event=" + event + " number=" + number + "\n";
        queue.write(priority, line.getBytes(StandardCharsets.UTF_8));
    }

    private void writeMany(int from) {
        IntStream.range(from, from + MANY)
                .forEach(number -> write(LinePriority.ORDINARY, "run_started", number));
    }

    private static List<Integer> numbersOf(List<String> lines) {
        List<Integer> numbers = new ArrayList<>();
        for (String line : lines) {
            if (line.contains(" number=")) {
                numbers.add(Integer.parseInt(line.replaceFirst(".* number=", "")));
            }
        }
        return numbers;
    }

    private long droppedLines() {
        return queue.dropped().values().stream().mapToLong(Long::longValue).sum();
    }

    @ParameterizedTest
    @EnumSource(Reader.class)
    void writersNeverWaitAndEachLineIsWrittenOrCounted(Reader kind) {
        reader.behave(kind == Reader.STALLED, kind == Reader.CLOSED, kind == Reader.SLOW ? 5 : 0);
        start();
        writeMany(0);
        if (kind != Reader.CLOSED) {
            reader.read();
            assertThat(queue.drain(10_000)).isTrue();
        }

        int written = numbersOf(reader.lines()).size();
        if (kind == Reader.CLOSED) {
            assertThat(written).isZero();
            assertThat(droppedLines()).isPositive();
        } else {
            assertThat(written + droppedLines()).isEqualTo(MANY);
        }
    }

    @Test
    void linesGoOnInOrderAfterStallWithTheCountOfDroppedOnesBetweenThem() {
        reader.behave(true, false, 0);
        start();
        writeMany(0);
        reader.read();
        assertThat(queue.drain(10_000)).isTrue();
        write(LinePriority.ORDINARY, "run_started", MANY);
        assertThat(queue.drain(10_000)).isTrue();

        List<Integer> numbers = numbersOf(reader.lines());
        long dropped = MANY + 1 - numbers.size();
        assertThat(dropped).isPositive();
        assertThat(numbers).isSorted().last().isEqualTo(MANY);
        assertThat(reader.lines())
                .filteredOn(line -> line.contains("event=log_lines_dropped"))
                .singleElement()
                .asString()
                .contains(" lines=" + dropped + " ", " events=run_started:" + dropped);
        int gap = indexOf("log_lines_dropped");
        assertThat(reader.lines().get(gap + 1)).isEqualTo("event=run_started number=" + MANY);
        assertThat(queue.dropped()).isEqualTo(Map.of("run_started", dropped));
    }

    private int indexOf(String event) {
        return IntStream.range(0, reader.lines().size())
                .filter(index -> reader.lines().get(index).contains("event=" + event))
                .findFirst()
                .orElseThrow();
    }

    @ParameterizedTest
    @CsvSource({"leader_duties_ended", "daemon_stopping", "link_replaced"})
    void ordinaryLinesAreDroppedBeforeThoseOfStopsAndDependencies(String event) {
        reader.behave(true, false, 0);
        start();
        writeMany(0);
        write(LinePriority.of(Level.INFO, event), event, 1);
        reader.read();
        assertThat(queue.drain(10_000)).isTrue();

        assertThat(reader.lines()).contains("event=" + event + " number=1");
        assertThat(queue.dropped()).containsOnlyKeys("run_started");
    }

    @Test
    void stalledReaderDoesNotDelayTheEndOfTheProcessBeyondTheLimit() {
        reader.behave(true, false, 0);
        start();
        writeMany(0);
        long begun = System.nanoTime();

        assertThat(queue.drain(50)).isFalse();
        assertThat((System.nanoTime() - begun) / 1_000_000).isLessThan(5_000);
    }

    @Test
    void queueStaysWithinItsBytesWhateverItsLinesAre() {
        reader.behave(true, false, 0);
        for (int number = 0; number < MANY; number++) {
            queue.write(LinePriority.LIFECYCLE, new byte[number % 3 == 0 ? 10 : 900]);
        }
        start();
        reader.read();
        assertThat(queue.drain(10_000)).isTrue();

        assertThat(reader.size()).isLessThan(CAPACITY);
        assertThat(droppedLines()).isPositive();
    }

    @ParameterizedTest
    @CsvSource({
        "event=run_started number=1, run_started",
        "time=t level=INFO event=link_up peer=a, link_up",
        "time=t level=INFO logger=Netty some text, none",
        "preevent=x, none",
        "event= x, none"
    })
    void eventOfLineIsRead(String line, String event) {
        assertThat(LineEvents.of(line)).isEqualTo(event);
    }
}
