package org.marjoramnotch.commandline;

import org.apache.commons.rng.simple.RandomSource;
import org.marjoramnotch.daemon.Daemon;
import org.marjoramnotch.daemon.settings.DaemonSettings;
import org.marjoramnotch.logic.cell.CellParts;
import org.marjoramnotch.logic.cell.StandardCellParts;
import org.marjoramnotch.logic.job.JobSettings;
import org.marjoramnotch.logic.placement.PlacementSettings;

/** The one place where the program meets the daemon. */
final class DaemonLauncher {
    private DaemonLauncher() {}

    /** Runs a daemon until it has stopped. */
    static void run(DaemonSettings settings) {
        CellParts parts =
                new StandardCellParts(
                        PlacementSettings.defaults(),
                        JobSettings.defaults(),
                        RandomSource.XO_RO_SHI_RO_128_PP.create());
        Daemon.run(settings, parts);
    }
}
