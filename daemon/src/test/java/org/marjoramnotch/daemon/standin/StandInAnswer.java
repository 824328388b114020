package org.marjoramnotch.daemon.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Writes the answers of a stand-in endpoint, good and bad ones. */
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

    /** Writes the answer; returns whether the connection carries on. */
    boolean write(StandInBehavior behavior) throws IOException {
        byte[] body = request.body();
        switch (behavior) {
            case CHUNKED, FEED -> chunks(behavior == StandInBehavior.FEED ? FEED_LINES : 1, true);
            case CUT_CHUNKED -> chunks(1, false);
            case ENDLESS -> chunks(Integer.MAX_VALUE, false);
            case CUT_SHORT -> whole("200 OK", "", 2 * body.length + 2, body);
            case OVERSIZED -> oversized();
            case MALFORMED -> text("what is this\r\n\r\n");
            case NO_FRAMING -> text("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nunframed");
            case RESET -> reset(body);
            case SILENT -> socket.getInputStream().read();
            case NOT_RUN ->
                    whole(
                            "503 Service Unavailable",
                            "Marjoramnotch-Outcome: not_run\r\n",
                            body.length,
                            body);
            case ERROR -> whole("500 Internal Server Error", "", body.length, body);
            case TWICE -> {
                whole("200 OK", "", body.length, body);
                whole("200 OK", "", 9, "of others".getBytes(StandardCharsets.UTF_8));
            }
            case SLOW -> {
                pause(SLOW_MILLISECONDS);
                whole("200 OK", "", body.length, body);
            }
            default -> whole("200 OK", "", body.length, body);
        }
        return carriesOn(behavior);
    }

    private static boolean carriesOn(StandInBehavior behavior) {
        return switch (behavior) {
            case ECHO, CHUNKED, FEED, NOT_RUN, ERROR, SLOW, TWICE -> true;
            default -> false;
        };
    }

    private void whole(String status, String headers, int length, byte[] body) throws IOException {
        String type = request.headers().getOrDefault("content-type", "text/plain");
        text(
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

    private void chunks(int count, boolean last) throws IOException {
        text("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int number = 0; number < count; number++) {
            byte[] chunk =
                    count == 1 && request.body().length > 0
                            ? request.body()
                            : ("line " + number + "\n").getBytes(StandardCharsets.UTF_8);
            text(Integer.toHexString(chunk.length) + "\r\n");
            output.write(chunk);
            text("\r\n");
            if (count > 1) {
                pause(FEED_PAUSE_MILLISECONDS);
            }
        }
        if (last) {
            text("0\r\n\r\n");
        }
    }

    private void oversized() throws IOException {
        text("HTTP/1.1 200 OK\r\nContent-Length: " + OVERSIZED_BYTES + "\r\n\r\n");
        byte[] block = new byte[64 * 1024];
        for (int sent = 0; sent < OVERSIZED_BYTES; sent += block.length) {
            output.write(block);
        }
    }

    private void reset(byte[] body) throws IOException {
        whole("200 OK", "", 2 * body.length + 2, body);
        socket.setSoLinger(true, 0);
    }

    private void text(String text) throws IOException {
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
