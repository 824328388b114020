package org.marjoramnotch.daemon;

import org.apache.pekko.actor.ActorSystem;
import org.marjoramnotch.daemon.duty.OrderPort;
import org.marjoramnotch.model.time.Clock;

/** Connects a daemon to an outside platform. */
public interface DaemonExtension {
    /** An extension for daemons that offer only their own interfaces. */
    DaemonExtension NONE =
            new DaemonExtension() {
                @Override
                public OrderPort orderPort(ActorSystem system, Clock clock) {
                    return OrderPort.NONE;
                }

                @Override
                public void start(DaemonContext context) {
                    // There is nothing to start.
                }

                @Override
                public void beginStop() {
                    // There is nothing to stop.
                }

                @Override
                public void finishStop() {
                    // There is nothing to stop.
                }
            };

    /** Returns the port through which the leader's orders are sent to workers. */
    OrderPort orderPort(ActorSystem system, Clock clock);

    /** Starts listening; called once, after the daemon's duties have been started. */
    void start(DaemonContext context);

    /** Called when the daemon begins to stop; requests that arrive later are still answered. */
    void beginStop();

    /** Stops listening once open requests have been answered, within two seconds. */
    void finishStop();
}
