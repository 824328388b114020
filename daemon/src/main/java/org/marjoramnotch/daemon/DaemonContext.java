package org.marjoramnotch.daemon;

import java.util.function.BooleanSupplier;
import org.marjoramnotch.daemon.http.ClientGuard;
import org.marjoramnotch.daemon.link.CellClient;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.daemon.settings.DaemonSettings;
import org.marjoramnotch.daemon.transport.NetworkThreads;
import org.marjoramnotch.model.time.Clock;

/**
 * The components of a daemon that an extension may use.
 *
 * @param threads serve the connections
 * @param settings the daemon's settings
 * @param client sends requests to the leader
 * @param clock the daemon's monotonic clock
 * @param metrics the daemon's metrics
 * @param clients limits what clients make the process keep
 * @param ready returns whether the daemon accepts work
 */
public record DaemonContext(
        NetworkThreads threads,
        DaemonSettings settings,
        CellClient client,
        Clock clock,
        DaemonMetrics metrics,
        ClientGuard clients,
        BooleanSupplier ready) {}
