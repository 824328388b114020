package org.marjoramnotch.daemon.link;

import org.marjoramnotch.wire.generated.Frame;

/** One connection of a link. */
interface LinkConnection {
    /** Tells whether a frame can be sent without being buffered. */
    boolean isReady();

    /** Sends a frame; dropped if the connection is closed. */
    void send(Frame frame);

    /** Returns when the last frame came, in milliseconds of the process's clock. */
    long lastReceivedMilliseconds();

    /** Tells whether any frame came. */
    boolean hasReceivedFrame();

    /** Tells whether the other side or the network ended it. */
    boolean isClosed();

    /** Closes it at once. */
    void close();
}
