package org.marjoramnotch.daemon.standin;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A request as read from a socket.
 *
 * @param method the method
 * @param path the path with its query
 * @param headers the headers by their names in lower case
 * @param body the body
 */
record StandInRequest(String method, String path, Map<String, String> headers, byte[] body) {
    static StandInRequest read(InputStream input) throws IOException {
        String[] first = line(input).split(" ");
        Map<String, String> headers = new HashMap<>();
        for (String line = line(input); !line.isEmpty(); line = line(input)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new StandInRequest(first[0], first[1], headers, body(input, headers));
    }

    StandInBehavior behavior() {
        String name = path.substring(1).split("[/?]")[0].replace('-', '_');
        for (StandInBehavior behavior : StandInBehavior.values()) {
            if (behavior.name().equalsIgnoreCase(name)) {
                return behavior;
            }
        }
        return StandInBehavior.ECHO;
    }

    StandInRequest withBody(String text) {
        return new StandInRequest(method, path, headers, text.getBytes(StandardCharsets.UTF_8));
    }

    String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    private static byte[] body(InputStream input, Map<String, String> headers) throws IOException {
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int size = Integer.parseInt(line(input), 16);
            while (size > 0) {
                body.write(input.readNBytes(size));
                line(input);
                size = Integer.parseInt(line(input), 16);
            }
            line(input);
            return body.toByteArray();
        }
        return input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }

    private static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
