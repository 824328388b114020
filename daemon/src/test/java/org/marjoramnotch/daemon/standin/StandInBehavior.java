package org.marjoramnotch.daemon.standin;

/** How a stand-in endpoint treats a request; chosen by the first part of the path. */
public enum StandInBehavior {
    /** Answers with the body it got, and its length. */
    ECHO,
    /** Answers with the body it got, in chunks. */
    CHUNKED,
    /** Closes after half of the declared length. */
    CUT_SHORT,
    /** Closes before the last chunk. */
    CUT_CHUNKED,
    /** Declares and sends more than any entry takes. */
    OVERSIZED,
    /** Sends something that is no HTTP. */
    MALFORMED,
    /** Sends neither length nor chunks. */
    NO_FRAMING,
    /** Resets the connection in the middle of the body. */
    RESET,
    /** Runs the request and never answers. */
    SILENT,
    /** Refuses without running. */
    NOT_RUN,
    /** Fails by itself. */
    ERROR,
    /** Answers whole, then sends a second answer that nobody asked for. */
    TWICE,
    /** Streams a few lines and ends. */
    FEED,
    /** Streams lines without end. */
    ENDLESS,
    /** Answers after a while. */
    SLOW
}
