package org.marjoramnotch.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.daemon.duty.SystemClock;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.daemon.settings.DaemonLimits;
import org.marjoramnotch.daemon.transport.NetworkThreads;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

class HttpListenerTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final int SMALL_BUFFER_BYTES = 4_096;
    private static final int CONNECTIONS = 90;

    /** Connections that the listener opens to itself when it stops. */
    private static final int PROBES = 2;

    /** More than the buffers of a connection hold. */
    private static final int LARGE_BODY_BYTES = 20_000_000;

    private final NetworkThreads threads = new NetworkThreads();
    private final ClientGuard clients =
            new ClientGuard(
                    ClientLimits.of(DaemonLimits.defaults()),
                    new DaemonMetrics(),
                    new SystemClock());
    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
    private final HttpListener listener =
            HttpListener.bind(
                    threads,
                    new InetSocketAddress("127.0.0.1", 0),
                    this::handle,
                    () -> HttpResponse.of(504),
                    clients);

    private CompletionStage<HttpResponse> handle(HttpRequest request) {
        Call call = new Call(request, new CompletableFuture<>());
        calls.add(call);
        return call.answer();
    }

    private record Call(HttpRequest request, CompletableFuture<HttpResponse> answer) {
        void complete(HttpResponse response) {
            answer.complete(response);
        }
    }

    @AfterEach
    void stop() {
        threads.close();
    }

    @Test
    void callThatIsOpenWhenTheConnectionsCloseIsAnswered() throws Exception {
        try (Socket caller = request()) {
            Call call = nextCall();
            listener.closeAfterAnswers();
            listener.closeConnections();
            assertThat(listener.openCalls()).isEqualTo(1);
            call.complete(HttpResponse.text(200, "answer"));

            assertThat(readToEnd(caller))
                    .startsWith("HTTP/1.1 200")
                    .contains("Connection: close")
                    .endsWith("answer");
        }
    }

    @Test
    void requestOfWhichPartWasReadWhenTheConnectionsCloseIsReadAndAnswered() throws Exception {
        String head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n";
        try (Socket caller = request(head + "first ")) {
            Call call = nextCall();
            listener.closeAfterAnswers();
            listener.closeConnections();
            caller.getOutputStream().write("end".getBytes(StandardCharsets.US_ASCII));
            call.request()
                    .body()
                    .read(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS), SMALL_BUFFER_BYTES)
                    .thenAccept(
                            body ->
                                    call.complete(
                                            HttpResponse.text(
                                                    200,
                                                    new String(body, StandardCharsets.US_ASCII))));

            assertThat(readToEnd(caller)).startsWith("HTTP/1.1 200").endsWith("first end");
        }
    }

    @Test
    void answerThatIsNotYetWrittenWhenTheConnectionsCloseIsComplete() throws Exception {
        try (Socket caller = request()) {
            nextCall().complete(HttpResponse.text(200, "x".repeat(LARGE_BODY_BYTES)));
            // Part of the answer has left, and the buffers are full.
            assertThat(caller.getInputStream().read()).isEqualTo('H');
            listener.closeConnections();

            assertThat(readToEnd(caller)).hasSizeGreaterThan(LARGE_BODY_BYTES);
        }
    }

    @Test
    void openCallIsAnsweredWithoutOutcomeWhenTheTimeIsUp() throws Exception {
        try (Socket caller = request()) {
            Call call = nextCall();
            listener.closeAfterAnswers();
            listener.answerOpenCalls();
            call.complete(HttpResponse.of(200));

            assertThat(readToEnd(caller)).startsWith("HTTP/1.1 504");
            assertThat(listener.openCalls()).isZero();
        }
    }

    /** Guards against an unknown outcome for a request that a stopping process is refusing. */
    @ParameterizedTest
    @CsvSource({"true, 503", "false, 504"})
    void callThatIsBeingHandledWhenTheTimeIsUpGetsTheAnswerOfItsHandler(boolean refuses, int status)
            throws Exception {
        CountDownLatch entered = new CountDownLatch(1);
        CountDownLatch answered = new CountDownLatch(1);
        HttpListener refusing =
                HttpListener.bind(
                        threads,
                        new InetSocketAddress("127.0.0.1", 0),
                        request -> {
                            entered.countDown();
                            awaitUninterruptibly(answered);
                            return refuses
                                    ? CompletableFuture.completedFuture(HttpResponse.of(503))
                                    : new CompletableFuture<>();
                        },
                        () -> HttpResponse.of(504),
                        clients);
        try (Socket caller = new Socket("127.0.0.1", refusing.address().getPort())) {
            caller.getOutputStream()
                    .write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertThat(entered.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
            refusing.closeAfterAnswers();
            refusing.answerOpenCalls();
            answered.countDown();

            assertThat(readToEnd(caller)).startsWith("HTTP/1.1 " + status);
            assertThat(refusing.openCalls()).isZero();
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void idleConnectionIsClosedWithoutReset() throws Exception {
        try (Socket caller = request()) {
            nextCall().complete(HttpResponse.text(200, "answer"));
            StringBuilder answer = new StringBuilder();
            while (!answer.toString().endsWith("answer")) {
                answer.append((char) caller.getInputStream().read());
            }
            listener.closeConnections();

            assertThat(caller.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test
    void requestsOnConnectionsThatWaitToBeAcceptedAreAnswered() throws Exception {
        CompletableFuture<Void> answers =
                CompletableFuture.runAsync(
                        () -> {
                            for (int number = 0; number < CONNECTIONS + PROBES; number++) {
                                nextCall().complete(HttpResponse.text(200, "answer"));
                            }
                        });
        List<Socket> callers = new ArrayList<>();
        for (int number = 0; number < CONNECTIONS; number++) {
            callers.add(request());
        }
        listener.closeAfterAnswers();
        listener.unbind(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        listener.closeConnections();

        for (Socket caller : callers) {
            assertThat(readToEnd(caller)).endsWith("answer");
            caller.close();
        }
        answers.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against a body that is cut off by a damaged chunk and taken as a whole one. */
    @Test
    void bodyWithDamagedChunkIsRefused() throws Exception {
        String head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        try (Socket caller = request(head + "5\r\nfirst\r\nzz\r\n")) {
            Call call = nextCall();

            assertThat(refusalOfBody(call, TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS)))
                    .isEqualTo(ErrorCode.INVALID_REQUEST);
            call.complete(HttpResponse.of(400));
            assertThat(readToEnd(caller)).startsWith("HTTP/1.1 400");
        }
    }

    /** Guards against a valid configuration that is refused for good since it arrives slowly. */
    @Test
    void bodyThatArrivesTooLateIsNoInvalidOne() throws Exception {
        String head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n";
        try (Socket caller = request(head + "first")) {
            assertThat(refusalOfBody(nextCall(), 1)).isEqualTo(ErrorCode.REQUEST_TIMEOUT);
        }
    }

    private static ErrorCode refusalOfBody(Call call, long timeoutMilliseconds) {
        CompletableFuture<byte[]> body =
                new BodyReader(SMALL_BUFFER_BYTES)
                        .read(call.request(), timeoutMilliseconds)
                        .toCompletableFuture();
        assertThat(body).failsWithin(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return ((MarjoramnotchException) body.handle((bytes, failure) -> failure.getCause()).join())
                .code();
    }

    private Socket request() throws IOException {
        return request("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    }

    private Socket request(String text) throws IOException {
        Socket caller = new Socket();
        caller.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        caller.connect(listener.address());
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return caller;
    }

    private Call nextCall() {
        try {
            Call call = calls.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertThat(call).isNotNull();
            while (call.answer().getNumberOfDependents() == 0) {
                // The handler has not returned yet.
                Thread.onSpinWait();
            }
            return call;
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    private static String readToEnd(Socket caller) throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
}
