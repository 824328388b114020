package org.marjoramnotch.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.model.error.MarjoramnotchException;
import sun.misc.Signal;

/**
 * Watches the settings file, which it checks at intervals and on SIGHUP, and passes changed
 * settings on. Invalid settings are logged; the previous settings then stay in force.
 */
public final class SettingsWatcher {
    /** Interval of the checks. Seeds change when VMs are replaced, which takes seconds. */
    private static final long INTERVAL_MILLISECONDS = 2_000;

    private static final Logger LOGGER = Logger.getLogger(SettingsWatcher.class);

    private final Path file;
    private final Consumer<DaemonSettings> listener;
    private final Thread thread;
    private byte[] currentContent;

    /** Creates a watcher of a file whose current content is already in force. */
    public SettingsWatcher(Path file, Consumer<DaemonSettings> listener) {
        this.file = file;
        this.listener = listener;
        this.currentContent = read();
        this.thread = new Thread(this::watch, "settings");
        thread.setDaemon(true);
    }

    /** Starts watching; without it, a SIGHUP would end the process. */
    public void start() {
        thread.start();
        Signal.handle(
                new Signal("HUP"),
                signal -> {
                    LogEvent.of("settings_signal").info(LOGGER);
                    LockSupport.unpark(thread);
                });
    }

    private void watch() {
        while (!Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLISECONDS));
            checkFile();
        }
    }

    /** Reads the file once and passes the settings on if they have changed. */
    void checkFile() {
        byte[] content = read();
        if (content.length == 0 || Arrays.equals(content, currentContent)) {
            return;
        }
        currentContent = content;
        try {
            DaemonSettings settings = SettingsReader.readGenerated(file);
            LogEvent.of("settings_reloaded").with("seeds", settings.replicas().size()).info(LOGGER);
            listener.accept(settings);
        } catch (MarjoramnotchException invalid) {
            LogEvent.of("settings_refused").with("message", invalid.getMessage()).warn(LOGGER);
        }
    }

    private byte[] read() {
        try {
            return Files.readAllBytes(file);
        } catch (IOException failure) {
            LogEvent.of("settings_unreadable").with("cause", failure).warn(LOGGER);
            return new byte[0];
        }
    }
}
