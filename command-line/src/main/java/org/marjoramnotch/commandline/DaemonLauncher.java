package org.marjoramnotch.commandline;

import org.marjoramnotch.daemon.settings.DaemonSettings;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/** The one place where the program meets the daemon. */
final class DaemonLauncher {
    private DaemonLauncher() {}

    /** Runs a daemon until it has stopped. */
    static void run(DaemonSettings settings) {
        throw new MarjoramnotchException(
                ErrorCode.STOPPING,
                "This build has no daemon for VM " + settings.vm() + "; install one that has.");
    }
}
