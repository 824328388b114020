package org.marjoramnotch.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.daemon.duty.SystemClock;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.daemon.transport.NetworkThreads;

/** Sends what misbehaving clients send, in small amounts, to a listener with low limits. */
class ClientLimitsTest {
    private static final int TIMEOUT_MILLISECONDS = 20_000;
    private static final int LEGAL_LINES = 4_090;
    private static final int REQUESTS = 5_000;
    private static final int MEMORY_BYTES = 1024 * 1024;
    private static final int HEAD_MILLISECONDS = 300;

    private final NetworkThreads threads = new NetworkThreads();
    private final DaemonMetrics metrics = new DaemonMetrics();
    private final ClientGuard clients =
            new ClientGuard(
                    new ClientLimits(MEMORY_BYTES, MEMORY_BYTES, 4_096, 128, HEAD_MILLISECONDS, 3),
                    metrics,
                    new SystemClock());
    private final HttpListener listener =
            HttpListener.bind(
                    threads,
                    new InetSocketAddress("127.0.0.1", 0),
                    this::handle,
                    () -> HttpResponse.of(504),
                    clients);

    private CompletionStage<HttpResponse> handle(HttpRequest request) {
        if (request.path().equals("/never")) {
            return new CompletableFuture<>();
        }
        return request.body()
                .read(TIMEOUT_MILLISECONDS, MEMORY_BYTES)
                .thenApply(body -> HttpResponse.text(200, request.path() + body.length))
                .exceptionally(failure -> HttpResponse.of(400));
    }

    @AfterEach
    void stop() {
        threads.close();
    }

    /** Guards against a limit that refuses a head of 16,384 bytes with the shortest lines. */
    @ParameterizedTest
    @ValueSource(strings = {"a:\r\n", "a:b\r\n"})
    void legalHeadIsServedHoweverManyLinesItHas(String line) throws Exception {
        int lines = LEGAL_LINES * 4 / line.length();
        try (Socket caller = send("GET /a HTTP/1.1\r\n" + line.repeat(lines) + "\r\n")) {
            assertThat(readStatus(caller)).isEqualTo("HTTP/1.1 200 OK");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "GET / HTTP/1.1~,   a:~, 5000, 431, HEADER_LINES",
        "'',                ~,   200,  431, EMPTY_LINES",
        "GET / HTTP/1.1~,   a:~, 1,    408, SLOW_HEAD",
        "GET / HTTP/1.1~,   name: value~, 5000, 400, MALFORMED_HEAD",
    })
    void clientOverLimitIsRefused(
            String begin, String line, int lines, int status, ClientRefusal reason)
            throws Exception {
        try (Socket caller = send((begin + line.repeat(lines)).replace("~", "\r\n"))) {
            assertThat(readStatus(caller)).startsWith("HTTP/1.1 " + status);
            assertThat(metrics.clientRefusals(reason.label())).isEqualTo(1);
        }
    }

    /** Guards against requests that are decoded far ahead, skipped or answered out of order. */
    @Test
    void pipelinedRequestsAreAnsweredInOrderWithinTheBudget() throws Exception {
        try (Socket caller = send("")) {
            CompletableFuture<Void> sent = CompletableFuture.runAsync(() -> pipeline(caller));
            for (int number = 0; number < REQUESTS; number++) {
                String body = "/" + number + (number % 3);
                assertThat(readAnswer(caller)).endsWith("\r\n\r\n" + body);
            }
            sent.get(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
        assertThat(metrics.clientRefusals(ClientRefusal.PROCESS_MEMORY.label())).isZero();
    }

    private static void pipeline(Socket caller) {
        try {
            OutputStream output = caller.getOutputStream();
            for (int number = 0; number < REQUESTS; number++) {
                int length = number % 3;
                String head = "POST /%d HTTP/1.1\r\nContent-Length: %d\r\n\r\n";
                output.write(bytes(head.formatted(number, length) + "x".repeat(length)));
            }
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Guards against memory that is never freed after clients have left partway. */
    @Test
    void memoryIsFreeAfterClientsHaveLeftPartway() throws Exception {
        send("GET /a HTTP/1.1\r\n" + "a:\r\n".repeat(LEGAL_LINES)).close();
        send("POST /a HTTP/1.1\r\nContent-Length: 90000\r\n\r\n" + "x".repeat(80_000)).close();
        try (Socket caller = send("GET /a HTTP/1.1\r\n\r\n")) {
            assertThat(readStatus(caller)).isEqualTo("HTTP/1.1 200 OK");
        }
        await(() -> clients.memory().totalBytes() == 0);
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLISECONDS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).isLessThan(end);
            Thread.onSpinWait();
        }
    }

    /** Guards against an ordinary caller that is closed in place of the largest holder. */
    @Test
    void largestHolderIsClosedWhenTheProcessIsShort() throws Exception {
        String head = "POST /a HTTP/1.1\r\nContent-Length: 900000\r\n\r\n";
        try (Socket ordinary = send("GET /never HTTP/1.1\r\n\r\n");
                Socket first = send(head + "x".repeat(250_000))) {
            await(() -> clients.memory().totalBytes() > 500_000);
            try (Socket second = send(head + "x".repeat(200_000))) {
                await(() -> listener.openConnections() < 3);
                assertThat(first.getInputStream().read()).isEqualTo(-1);
                second.setSoTimeout(1);
                ordinary.setSoTimeout(1);
                assertThatThrownBy(() -> second.getInputStream().read())
                        .isInstanceOf(SocketTimeoutException.class);
                assertThatThrownBy(() -> ordinary.getInputStream().read())
                        .isInstanceOf(SocketTimeoutException.class);
            }
        }
        assertThat(metrics.clientRefusals(ClientRefusal.PROCESS_MEMORY.label())).isEqualTo(1);
    }

    @Test
    void connectionsOfOneAddressAreLimited() throws Exception {
        try (Socket first = request();
                Socket second = request();
                Socket third = request()) {
            assertThat(readStatus(third)).isNotEmpty();
            try (Socket fourth = send("")) {
                assertThat(fourth.getInputStream().read()).isEqualTo(-1);
            }
            assertThat(first.isConnected() && second.isConnected()).isTrue();
        }
    }

    private Socket request() throws IOException {
        return send("GET /a HTTP/1.1\r\n\r\n");
    }

    private Socket send(String text) throws IOException {
        Socket caller = new Socket();
        caller.setSoTimeout(TIMEOUT_MILLISECONDS);
        caller.connect(listener.address());
        caller.getOutputStream().write(bytes(text));
        return caller;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static String readStatus(Socket caller) throws IOException {
        return readUntil(caller, "\r\n").strip();
    }

    private static String readAnswer(Socket caller) throws IOException {
        String head = readUntil(caller, "\r\n\r\n");
        int length = Integer.parseInt(head.replaceAll("(?is).*content-length: (\\d+).*", "$1"));
        return head + new String(caller.getInputStream().readNBytes(length));
    }

    private static String readUntil(Socket caller, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < end.length()
                || text.indexOf(end, text.length() - end.length()) < 0) {
            int next = caller.getInputStream().read();
            if (next < 0) {
                throw new IOException("Ended after " + text);
            }
            text.append((char) next);
        }
        return text.toString();
    }
}
