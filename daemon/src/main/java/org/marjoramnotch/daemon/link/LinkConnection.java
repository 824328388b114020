package org.marjoramnotch.daemon.link;

import org.marjoramnotch.wire.generated.Frame;

/** One connection of a link. */
interface LinkConnection {
    /** Returns whether a frame can be sent without being buffered. */
    boolean isReady();

    /** Sends a frame; the frame is dropped if the connection is closed. */
    void send(Frame frame);

    /** Returns when the last frame was received, in milliseconds of the process's clock. */
    long lastReceivedMilliseconds();

    /** Returns whether any frame was received. */
    boolean hasReceivedFrame();

    /** Returns whether the connection was closed, for example by the other side or the network. */
    boolean isClosed();

    /** Closes the connection at once. */
    void close();
}
