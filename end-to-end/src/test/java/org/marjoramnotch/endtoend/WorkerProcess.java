package org.marjoramnotch.endtoend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.marjoramnotch.daemon.standin.StandInWorker;

/** A stand-in worker that runs as a separate process. */
final class WorkerProcess implements AutoCloseable {
    private final Process process;
    private final Path log;

    WorkerProcess(String name, List<String> addresses, Path folder) {
        log = folder.resolve(name + ".log");
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx48m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(StandInWorker.class.getName(), name, "4000", "8000"));
        addresses.forEach(address -> command.add(address.substring("http://".length())));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.redirectOutput(log.toFile());
        try {
            process = builder.start();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Returns how many tasks of a job the worker has started. */
    long starts(String job) {
        try (Stream<String> lines = Files.lines(log)) {
            return lines.filter(line -> line.startsWith("event=task_started"))
                    .filter(line -> line.contains('"' + job + '"'))
                    .count();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Ends the worker immediately, as SIGKILL does. */
    @Override
    public void close() {
        process.destroyForcibly();
    }
}
