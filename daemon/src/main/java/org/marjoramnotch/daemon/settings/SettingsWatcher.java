package org.marjoramnotch.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.model.error.MarjoramnotchException;

/**
 * Reads the settings file for a start, then checks it at intervals and on SIGHUP and passes changed
 * settings on. Invalid settings are logged; the previous settings then stay in force.
 */
public final class SettingsWatcher {
    /** Interval of the checks. Seeds change when VMs are replaced, which takes seconds. */
    private static final long INTERVAL_MILLISECONDS = 2_000;

    private static final Logger LOGGER = Logger.getLogger(SettingsWatcher.class);

    private final Path file;
    private final ReloadSignal signal;
    private byte[] currentContent = new byte[0];

    /** Creates a watcher of a file. */
    public SettingsWatcher(Path file, ReloadSignal signal) {
        this.file = file;
        this.signal = signal;
    }

    /**
     * Returns the settings for the start.
     *
     * @throws MarjoramnotchException with {@code INVALID_SETTINGS}
     */
    public DaemonSettings readSettings() {
        // The content is taken first: if the file changes between the two reads, it is read again.
        currentContent = read();
        return SettingsReader.readGenerated(file);
    }

    /**
     * Starts to pass changed settings to the listener, beginning with a change since {@link
     * #readSettings}.
     */
    public void start(Consumer<DaemonSettings> listener) {
        Thread thread = new Thread(() -> watch(listener), "settings");
        thread.setDaemon(true);
        thread.start();
    }

    private void watch(Consumer<DaemonSettings> listener) {
        try {
            while (true) {
                checkFile(listener);
                if (signal.await(INTERVAL_MILLISECONDS)) {
                    LogEvent.of("settings_signal").info(LOGGER);
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads the file once and passes the settings on if they have changed. */
    void checkFile(Consumer<DaemonSettings> listener) {
        byte[] content = read();
        if (content.length == 0 || Arrays.equals(content, currentContent)) {
            return;
        }
        currentContent = content;
        try {
            DaemonSettings settings = SettingsReader.readGenerated(file);
            LogEvent.of("settings_reloaded").with("seeds", settings.replicas().size()).info(LOGGER);
            listener.accept(settings);
        } catch (RuntimeException invalid) {
            // Whatever the file holds, the watch goes on, so that a later change is applied.
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
