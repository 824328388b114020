package org.marjoramnotch.daemon.log;

/** Takes finished log lines. */
interface LineSink {
    /** Takes a line with its end of line. */
    void write(LinePriority priority, byte[] line);
}
