package org.marjoramnotch.daemon.link;

import org.marjoramnotch.wire.generated.Frame;

/** Takes what comes over accepted links. */
interface AcceptedLinkListener {
    /** Takes a frame of the link. */
    void onFrame(AcceptedLink link, Frame frame);

    /** Is told that the link is gone. */
    void onClosed(AcceptedLink link);
}
