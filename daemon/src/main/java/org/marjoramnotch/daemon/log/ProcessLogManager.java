package org.marjoramnotch.daemon.log;

import java.util.logging.LogManager;

/**
 * Log manager without a configuration of its own. It keeps its handlers until the process ends,
 * where the default one removes them at the beginning of a shutdown, so that the lines of a planned
 * stop would be lost.
 */
public final class ProcessLogManager extends LogManager {
    /** Creates the log manager; called by the Java virtual machine. */
    public ProcessLogManager() {}

    @Override
    public void readConfiguration() {
        // LogSetup configures the root logger.
    }

    @Override
    public void reset() {
        // The handlers stay.
    }
}
