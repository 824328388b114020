package org.marjoramnotch.daemon.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.daemon.log.ProcessOutput;
import org.marjoramnotch.daemon.transport.WatchedThreadFactory;

/** Runs processes of which one thread fails. */
class FatalErrorHandlerTest {
    private static final String NAME = "failing";
    private static final long TIMEOUT_SECONDS = 20;
    private static final int PIPE_BYTES = 65_536;

    @TempDir Path folder;

    /** Guards against a process that lives on without one of its threads. */
    @ParameterizedTest
    @ValueSource(strings = {"EXCEPTION", "MEMORY", "DUTY_MEMORY", "EVENT_LOOP"})
    void failedThreadEndsTheProcessAndIsNamed(String kind) throws Exception {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx16m",
                                "-XX:+UseSerialGC",
                                "-cp",
                                System.getProperty("java.class.path"),
                                FailingProcess.class.getName(),
                                kind)
                        .redirectErrorStream(true)
                        .redirectOutput(folder.resolve("output").toFile())
                        .start();
        boolean ended = process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        process.destroyForcibly().waitFor();
        String output = Files.readString(folder.resolve("output"));

        assertThat(ended).as(output).isTrue();
        assertThat(process.exitValue()).as(output).isEqualTo(FatalErrorHandler.EXIT_CODE);
        assertThat(output).contains("_failed").containsPattern("thread=" + NAME);
    }

    /** Guards against a failed process that waits for the reader of its logs instead of ending. */
    @ParameterizedTest
    @ValueSource(strings = {"EXCEPTION", "MEMORY", "DUTY_MEMORY", "EVENT_LOOP"})
    void failedThreadEndsTheProcessThoughItsOutputIsNotRead(String kind) throws Exception {
        Process process =
                new ProcessBuilder(
                                "sh",
                                "-c",
                                "head -c " + PIPE_BYTES + " /dev/zero; exec \"$@\"",
                                "sh",
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx16m",
                                "-XX:+UseSerialGC",
                                "-cp",
                                System.getProperty("java.class.path"),
                                FailingProcess.class.getName(),
                                kind,
                                "INSTALLED")
                        .redirectErrorStream(true)
                        .start();
        boolean ended = process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        process.destroyForcibly().waitFor();

        assertThat(ended).isTrue();
        assertThat(process.exitValue()).isEqualTo(FatalErrorHandler.EXIT_CODE);
    }

    /** The program of the process. */
    static final class FailingProcess {
        private FailingProcess() {}

        /** Starts a thread that fails, and would otherwise never end. */
        public static void main(String[] arguments) throws InterruptedException {
            if (arguments.length > 1) {
                ProcessOutput.install();
            }
            FatalErrorHandler handler = new FatalErrorHandler();
            Thread.setDefaultUncaughtExceptionHandler(handler);
            Runnable task =
                    switch (arguments[0]) {
                        case "EXCEPTION" ->
                                () -> {
                                    throw new IllegalStateException("failed");
                                };
                        case "MEMORY" -> FailingProcess::fillMemory;
                        case "DUTY_MEMORY" ->
                                () -> {
                                    try {
                                        fillMemory();
                                    } catch (OutOfMemoryError failure) {
                                        handler.accept(failure);
                                    }
                                };
                        default -> () -> {};
                    };
            Thread thread =
                    arguments[0].equals("EVENT_LOOP")
                            ? new WatchedThreadFactory(NAME, handler).newThread(task)
                            : new Thread(task, NAME);
            thread.start();
            Thread.sleep(Long.MAX_VALUE);
        }

        private static void fillMemory() {
            List<byte[]> kept = KEPT;
            for (int size = 1024 * 1024; size > 0; size = Math.max(16, size / 2)) {
                try {
                    while (true) {
                        kept.add(new byte[size]);
                    }
                } catch (OutOfMemoryError full) {
                    if (size == 16) {
                        throw full;
                    }
                }
            }
        }

        private static final List<byte[]> KEPT = new ArrayList<>();
    }
}
