package org.marjoramnotch.daemon.log;

import java.util.Locale;
import org.jboss.logging.Logger;
import org.jboss.logmanager.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Configures logging to standard output, with one line of key=value pairs for each event. */
public final class LogSetup {
    private static final String MANAGER_PROPERTY = "java.util.logging.manager";
    private static final String PATTERN =
            "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level=%p logger=%c{1} %m%n";

    private LogSetup() {}

    /** Installs the log manager and sets the log level; to be called before the first log line. */
    public static void configure(Logger.Level level) {
        System.setProperty(MANAGER_PROPERTY, "org.jboss.logmanager.LogManager");
        ConsoleHandler handler =
                new ConsoleHandler(ConsoleHandler.Target.SYSTEM_OUT, new PatternFormatter(PATTERN));
        handler.setAutoFlush(true);
        org.jboss.logmanager.Logger root = LogContext.getLogContext().getLogger("");
        root.setHandlers(new java.util.logging.Handler[] {handler});
        root.setLevel(Level.parse(level.name().toUpperCase(Locale.ROOT)));
    }
}
