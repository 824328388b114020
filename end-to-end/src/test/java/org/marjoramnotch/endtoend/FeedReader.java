package org.marjoramnotch.endtoend;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.util.concurrent.atomic.AtomicLong;

/** A caller that reads an endless private feed. */
final class FeedReader {
    private final AtomicLong bytes = new AtomicLong();
    private final Thread reader;

    FeedReader(String address) {
        URI uri =
                URI.create(
                        address + "/v1/queues/" + TestRules.PRIVATE_FEED_QUEUE + "/feed/endless");
        reader = new Thread(() -> read(uri), "feed");
        reader.setDaemon(true);
        reader.start();
    }

    /** Waits until the first byte of the stream has arrived. */
    void awaitFirstByte() {
        Poll.until("the feed has begun", () -> bytes.get() > 0);
    }

    /** Returns whether the daemon has ended the stream. */
    boolean isClosed() {
        return !reader.isAlive();
    }

    private void read(URI uri) {
        try {
            HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
            connection.setRequestProperty("Authorization", "Bearer " + TestRules.KEY);
            try (InputStream stream = connection.getInputStream()) {
                while (stream.read() >= 0) {
                    bytes.incrementAndGet();
                }
            }
        } catch (IOException closed) {
            return;
        }
    }
}
