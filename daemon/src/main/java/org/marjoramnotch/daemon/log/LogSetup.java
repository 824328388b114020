package org.marjoramnotch.daemon.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import org.jboss.logging.Logger;
import org.marjoramnotch.daemon.duty.SystemClock;

/** Configures logging to standard output, with one line of key=value pairs for each event. */
public final class LogSetup {
    private static final String MANAGER_PROPERTY = "java.util.logging.manager";

    private LogSetup() {}

    /** Installs the log manager and sets the log level; to be called before the first log line. */
    public static void configure(Logger.Level level) {
        if (System.getProperty(MANAGER_PROPERTY) == null) {
            System.setProperty(MANAGER_PROPERTY, ProcessLogManager.class.getName());
        }
        java.util.logging.Logger root = java.util.logging.Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new LineHandler(ProcessOutput.sink(), new SystemClock()));
        root.setLevel(levelOf(level));
    }

    private static Level levelOf(Logger.Level level) {
        return switch (level) {
            case FATAL, ERROR -> Level.SEVERE;
            case WARN -> Level.WARNING;
            case INFO -> Level.INFO;
            case DEBUG -> Level.FINE;
            case TRACE -> Level.FINER;
        };
    }
}
