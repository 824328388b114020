package org.marjoramnotch.daemon;

import java.util.function.BooleanSupplier;
import org.apache.pekko.actor.ActorSystem;
import org.marjoramnotch.daemon.link.CellClient;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.daemon.settings.DaemonSettings;
import org.marjoramnotch.model.time.Clock;

/**
 * What an extension of a daemon may use.
 *
 * @param system the actor system
 * @param settings the daemon's settings
 * @param client sends requests to the leader
 * @param clock the daemon's monotonic clock
 * @param metrics what the daemon counts
 * @param ready tells whether the daemon takes work
 */
public record DaemonContext(
        ActorSystem system,
        DaemonSettings settings,
        CellClient client,
        Clock clock,
        DaemonMetrics metrics,
        BooleanSupplier ready) {}
