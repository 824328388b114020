package org.marjoramnotch.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.daemon.duty.FatalErrorHandler;
import org.marjoramnotch.daemon.duty.SystemClock;
import org.marjoramnotch.daemon.log.LogSetup;

/** Runs processes that work with little free heap, or with enough. */
class MemoryWatchTest {
    private static final long TIMEOUT_SECONDS = 60;
    private static final int DONE_EXIT_STATUS = 3;

    @TempDir Path folder;

    /** Guards against a process that collects garbage without end and neither ends nor serves. */
    @ParameterizedTest
    @CsvSource({"16384, 70", "131072, 70", "6291456, 3"})
    void processThatOnlyCollectsGarbageEnds(int freeBytes, int exitStatus) throws Exception {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx24m",
                                "-XX:+UseSerialGC",
                                "-cp",
                                System.getProperty("java.class.path"),
                                BusyProcess.class.getName(),
                                Integer.toString(freeBytes))
                        .redirectErrorStream(true)
                        .redirectOutput(folder.resolve("output").toFile())
                        .start();
        boolean ended = process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        process.destroyForcibly().waitFor();
        String output = Files.readString(folder.resolve("output"));

        assertThat(ended).as(output).isTrue();
        assertThat(process.exitValue()).as(output).isEqualTo(exitStatus);
    }

    /** The program of the process. */
    static final class BusyProcess {
        private static final int PIECE_BYTES = 4_096;
        private static final long WORK_NANOSECONDS = 20_000_000_000L;
        private static final List<byte[]> KEPT = new ArrayList<>();

        private BusyProcess() {}

        /** Fills the heap but for some bytes, and then works with these for a while. */
        public static void main(String[] arguments) {
            LogSetup.configure(Logger.Level.INFO);
            MemoryWatch.start(new SystemClock(), new FatalErrorHandler());
            fill(Integer.parseInt(arguments[0]));
            long end = System.nanoTime() + WORK_NANOSECONDS;
            long made = 0;
            while (System.nanoTime() < end) {
                made += work();
            }
            System.exit(made > 0 ? DONE_EXIT_STATUS : 0);
        }

        private static void fill(int freeBytes) {
            try {
                while (true) {
                    KEPT.add(new byte[PIECE_BYTES]);
                }
            } catch (OutOfMemoryError full) {
                KEPT.subList(0, Math.max(1, freeBytes / PIECE_BYTES)).clear();
            }
        }

        private static int work() {
            try {
                return new byte[PIECE_BYTES].length;
            } catch (OutOfMemoryError full) {
                return 0;
            }
        }
    }
}
