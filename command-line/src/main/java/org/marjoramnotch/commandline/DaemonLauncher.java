package org.marjoramnotch.commandline;

import org.marjoramnotch.daemon.Daemon;
import org.marjoramnotch.daemon.settings.DaemonSettings;

/** The one place where the program meets the daemon. */
final class DaemonLauncher {
    private DaemonLauncher() {}

    /** Runs a daemon until it has stopped. */
    static void run(DaemonSettings settings) {
        Daemon.run(settings);
    }
}
