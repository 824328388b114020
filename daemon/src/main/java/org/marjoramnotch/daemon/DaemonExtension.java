package org.marjoramnotch.daemon;

import java.util.List;
import org.marjoramnotch.daemon.duty.OrderPort;
import org.marjoramnotch.daemon.http.HttpListener;
import org.marjoramnotch.daemon.transport.NetworkThreads;
import org.marjoramnotch.model.time.Clock;

/** Connects a daemon to an outside platform. */
public interface DaemonExtension {
    /** An extension for daemons that offer only their own interfaces. */
    DaemonExtension NONE =
            new DaemonExtension() {
                @Override
                public OrderPort orderPort(NetworkThreads threads, Clock clock) {
                    return OrderPort.NONE;
                }

                @Override
                public List<HttpListener> start(DaemonContext context) {
                    return List.of();
                }

                @Override
                public long readinessGraceMilliseconds() {
                    return 0;
                }

                @Override
                public void stopAcceptingWork() {
                    // There is no work.
                }
            };

    /** Returns the port through which the leader's orders are sent to workers. */
    OrderPort orderPort(NetworkThreads threads, Clock clock);

    /**
     * Starts listening; called once, after the daemon's duties have been started. The daemon closes
     * the returned listeners when it stops.
     */
    List<HttpListener> start(DaemonContext context);

    /** Returns how long callers may still be sent to a daemon that is no longer ready. */
    long readinessGraceMilliseconds();

    /** Refuses all further work; requests that arrive later are still answered. */
    void stopAcceptingWork();
}
