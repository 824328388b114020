package org.marjoramnotch.endtoend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon as a process of its own. */
final class DaemonProcess implements AutoCloseable {
    private static final long STOP_TIMEOUT_SECONDS = 60;

    private final String vm;
    private final String httpAddress;
    private final Path settings;
    private final Path log;
    private Process process;
    private boolean paused;

    DaemonProcess(String vm, String httpAddress, Path settings, Path log) {
        this.vm = vm;
        this.httpAddress = httpAddress;
        this.settings = settings;
        this.log = log;
        this.process = launch();
    }

    String vm() {
        return vm;
    }

    /** Returns the base of its HTTP addresses. */
    String httpAddress() {
        return httpAddress;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Tells whether it runs and is not paused. */
    boolean isServing() {
        return process.isAlive() && !paused;
    }

    /** Ends it at once, as SIGKILL does. */
    void kill() {
        process.destroyForcibly();
        awaitEnd();
    }

    /** Asks it to stop, as SIGTERM does, and returns its exit code. */
    int stop() {
        process.destroy();
        awaitEnd();
        return process.exitValue();
    }

    void restart() {
        process = launch();
    }

    /** Freezes all its threads, as a long pause does. */
    void pause() {
        paused = true;
        signal("STOP");
    }

    /** Ends a {@link #pause}. */
    void resume() {
        signal("CONT");
        paused = false;
    }

    void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Returns a figure of the kernel's status page of the process, such as VmRSS. */
    long memoryKilobytes(String name) throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(line -> line.startsWith(name + ":"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElseThrow();
    }

    @Override
    public void close() {
        if (process.isAlive()) {
            kill();
        }
    }

    private void awaitEnd() {
        try {
            if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException("Daemon " + vm + " does not end.");
            }
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private Process launch() {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of("org.marjoramnotch.commandline.Main", "daemon"));
        command.addAll(List.of("--settings", settings.toString()));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        try {
            return builder.start();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
