package org.marjoramnotch.daemon.standin;

/** How a stand-in endpoint handles a request; selected by the first part of the request's path. */
public enum StandInBehavior {
    /** Answers with the body of the request and its length. */
    ECHO,
    /** Answers with the body of the request, in chunks. */
    CHUNKED,
    /** Closes the connection after half of the declared length. */
    CUT_SHORT,
    /** Closes the connection before the last chunk. */
    CUT_CHUNKED,
    /** Declares and sends a longer body than any entry accepts. */
    OVERSIZED,
    /** Sends text that is not HTTP. */
    MALFORMED,
    /** Sends a body with neither a declared length nor chunks. */
    NO_FRAMING,
    /** Resets the connection in the middle of the body. */
    RESET,
    /** Runs the request and never answers. */
    SILENT,
    /** Refuses the request without running it. */
    NOT_RUN,
    /** Runs the request and answers with an error. */
    ERROR,
    /** Sends a complete answer and then a second, unexpected one. */
    TWICE,
    /** Streams a few lines and ends. */
    FEED,
    /** Streams lines without end. */
    ENDLESS,
    /** Answers after a delay. */
    SLOW
}
