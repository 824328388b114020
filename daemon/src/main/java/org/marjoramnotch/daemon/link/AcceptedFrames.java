package org.marjoramnotch.daemon.link;

import org.marjoramnotch.wire.generated.Frame;

/** Takes what comes over accepted links. */
interface AcceptedFrames {
    /** Takes a frame of the link. */
    void accept(AcceptedLink link, Frame frame);

    /** Is told that the link is gone. */
    void ended(AcceptedLink link);
}
