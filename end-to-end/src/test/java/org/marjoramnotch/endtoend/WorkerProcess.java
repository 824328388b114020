package org.marjoramnotch.endtoend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.marjoramnotch.daemon.standin.StandInWorker;

/** A stand-in worker as a process of its own. */
final class WorkerProcess implements AutoCloseable {
    private final Process process;

    WorkerProcess(String name, List<String> addresses, Path folder) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx48m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(StandInWorker.class.getName(), name, "4000", "8000"));
        addresses.forEach(address -> command.add(address.substring("http://".length())));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.redirectOutput(folder.resolve(name + ".log").toFile());
        try {
            process = builder.start();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
