package org.marjoramnotch.daemon.link;

import org.marjoramnotch.wire.generated.Frame;

/** Receives the frames of accepted links, and is notified when they close. */
interface AcceptedLinkListener {
    /** Handles a frame from the link. */
    void onFrame(AcceptedLink link, Frame frame);

    /** Handles the closing of the link. */
    void onClosed(AcceptedLink link);
}
