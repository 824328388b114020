package org.marjoramnotch.daemon;

import org.apache.pekko.actor.ActorSystem;
import org.marjoramnotch.daemon.duty.OrderPort;
import org.marjoramnotch.model.time.Clock;

/** Connects a daemon to an outside platform. */
public interface DaemonExtension {
    /** A daemon with its own interfaces only. */
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

    /** Returns what carries the leader's orders to workers. */
    OrderPort orderPort(ActorSystem system, Clock clock);

    /** Starts to listen; called once, after the daemon's duties have been started. */
    void start(DaemonContext context);

    /** Is told that the daemon stops; what arrives from here on is still answered. */
    void beginStop();

    /** Ends what listens, after open calls have been answered, within two seconds. */
    void finishStop();
}
