package org.marjoramnotch.commandline;

import org.marjoramnotch.daemon.DaemonRunner;
import org.marjoramnotch.daemon.settings.DaemonSettings;

/** Starts the daemon; the only class of the command line that does so. */
final class DaemonLauncher {
    private DaemonLauncher() {}

    /** Runs a daemon until it has stopped. */
    static void run(DaemonSettings settings) {
        DaemonRunner.run(settings);
    }
}
