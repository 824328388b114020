package org.marjoramnotch.daemon.log;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.util.logging.Level;

/** Splits what is printed into lines and hands these to a sink. */
final class LineStream extends OutputStream {
    private static final int MAXIMUM_LINE_BYTES = 8_192;

    private final LineSink sink;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    LineStream(LineSink sink) {
        this.sink = sink;
    }

    @Override
    public synchronized void write(int value) {
        line.write(value);
        if (value == '\n' || line.size() >= MAXIMUM_LINE_BYTES) {
            byte[] finished = line.toByteArray();
            line.reset();
            sink.write(LinePriority.of(Level.INFO, LineEvents.of(finished)), finished);
        }
    }

    @Override
    public synchronized void write(byte[] values, int offset, int length) {
        for (int position = offset; position < offset + length; position++) {
            write(values[position]);
        }
    }
}
