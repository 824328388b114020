package org.marjoramnotch.daemon.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Writes the answers of a stand-in endpoint, both correct and faulty ones. */
final class StandInAnswer {
    private static final int OVERSIZED_BYTES = 64 * 1024 * 1024;
    private static final int FEED_LINES = 3;
    private static final long SLOW_MILLISECONDS = 1_500;
    private static final long FEED_PAUSE_MILLISECONDS = 50;

    private final Socket socket;
    private final OutputStream output;
    private final StandInRequest request;

    StandInAnswer(Socket socket, StandInRequest request) throws IOException {
        this.socket = socket;
        this.output = socket.getOutputStream();
        this.request = request;
    }

    /** Writes the answer; returns whether the connection stays open. */
    boolean write(StandInBehavior behavior) throws IOException {
        byte[] body = request.body();
        switch (behavior) {
            case CHUNKED, FEED ->
                    writeChunks(behavior == StandInBehavior.FEED ? FEED_LINES : 1, true);
            case CUT_CHUNKED -> writeChunks(1, false);
            case ENDLESS -> writeChunks(Integer.MAX_VALUE, false);
            case CUT_SHORT -> writeComplete("200 OK", "", 2 * body.length + 2, body);
            case OVERSIZED -> writeOversized();
            case MALFORMED -> writeText("what is this\r\n\r\n");
            case NO_FRAMING -> writeText("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nunframed");
            case RESET -> writeAndReset(body);
            case SILENT -> socket.getInputStream().read();
            case NOT_RUN ->
                    writeComplete(
                            "503 Service Unavailable",
                            "Marjoramnotch-Outcome: not_run\r\n",
                            body.length,
                            body);
            case ERROR -> writeComplete("500 Internal Server Error", "", body.length, body);
            case TWICE -> {
                writeComplete("200 OK", "", body.length, body);
                writeComplete("200 OK", "", 9, "of others".getBytes(StandardCharsets.UTF_8));
            }
            case SLOW -> {
                pause(SLOW_MILLISECONDS);
                writeComplete("200 OK", "", body.length, body);
            }
            default -> writeComplete("200 OK", "", body.length, body);
        }
        return keepsConnectionOpen(behavior);
    }

    private static boolean keepsConnectionOpen(StandInBehavior behavior) {
        return switch (behavior) {
            case ECHO, CHUNKED, FEED, NOT_RUN, ERROR, SLOW, TWICE -> true;
            default -> false;
        };
    }

    private void writeComplete(String status, String headers, int length, byte[] body)
            throws IOException {
        String type = request.headers().getOrDefault("content-type", "text/plain");
        writeText(
                "HTTP/1.1 "
                        + status
                        + "\r\nContent-Type: "
                        + type
                        + "\r\n"
                        + headers
                        + "Content-Length: "
                        + length
                        + "\r\n\r\n");
        output.write(body);
        output.flush();
    }

    private void writeChunks(int count, boolean last) throws IOException {
        writeText(
                "HTTP/1.1 200 OK\r\n"
                        + "Content-Type: text/plain\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
        for (int number = 0; number < count; number++) {
            byte[] chunk =
                    count == 1 && request.body().length > 0
                            ? request.body()
                            : ("line " + number + "\n").getBytes(StandardCharsets.UTF_8);
            writeText(Integer.toHexString(chunk.length) + "\r\n");
            output.write(chunk);
            writeText("\r\n");
            if (count > 1) {
                pause(FEED_PAUSE_MILLISECONDS);
            }
        }
        if (last) {
            writeText("0\r\n\r\n");
        }
    }

    private void writeOversized() throws IOException {
        writeText("HTTP/1.1 200 OK\r\nContent-Length: " + OVERSIZED_BYTES + "\r\n\r\n");
        byte[] block = new byte[64 * 1024];
        for (int sent = 0; sent < OVERSIZED_BYTES; sent += block.length) {
            output.write(block);
        }
    }

    private void writeAndReset(byte[] body) throws IOException {
        writeComplete("200 OK", "", 2 * body.length + 2, body);
        socket.setSoLinger(true, 0);
    }

    private void writeText(String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private static void pause(long milliseconds) throws IOException {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            throw new IOException(interrupted);
        }
    }
}
