package org.marjoramnotch.daemon.duty;

import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.marjoramnotch.daemon.log.LogEvent;

/** Ends the process when a duty fails, since the state of the duty may be inconsistent. */
public final class FatalErrorHandler implements Consumer<Throwable> {
    /** Exit code after an invariant was violated or the storage failed. */
    public static final int EXIT_CODE = 70;

    private static final Logger LOGGER = Logger.getLogger(FatalErrorHandler.class);

    @Override
    public void accept(Throwable cause) {
        LogEvent.of("duty_failed")
                .with("exit_code", EXIT_CODE)
                .with("message", cause.getMessage())
                .error(LOGGER, cause);
        Runtime.getRuntime().halt(EXIT_CODE);
    }
}
