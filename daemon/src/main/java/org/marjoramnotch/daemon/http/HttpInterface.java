package org.marjoramnotch.daemon.http;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.jboss.logging.Logger;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.daemon.log.LogRateLimiter;
import org.marjoramnotch.daemon.transport.NetworkThreads;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.time.Clock;

/** Dispatches requests to the routes that handle them and converts every failure to a refusal. */
public final class HttpInterface {
    private static final long LOG_INTERVAL_MILLISECONDS = 1_000;
    private static final Logger LOGGER = Logger.getLogger(HttpInterface.class);

    private final NetworkThreads threads;
    private final Clock clock;
    private final Routes health;
    private final List<Routes> work;
    private final RefusalAnswers refusals;
    private final ClientGuard clients;
    private final LogRateLimiter faultLogs;
    private volatile boolean stopping;

    HttpInterface(
            NetworkThreads threads,
            Clock clock,
            Routes health,
            List<Routes> work,
            RefusalAnswers refusals,
            ClientGuard clients) {
        this.threads = threads;
        this.clock = clock;
        this.health = health;
        this.work = List.copyOf(work);
        this.refusals = refusals;
        this.clients = clients;
        this.faultLogs = new LogRateLimiter(clock, LOG_INTERVAL_MILLISECONDS);
    }

    /**
     * Starts listening.
     *
     * @throws MarjoramnotchException with code {@code INVALID_SETTINGS} if the address cannot be
     *     used
     */
    public HttpListener listen(String host, int port) {
        try {
            return HttpListener.bind(
                    threads,
                    new InetSocketAddress(host, port),
                    this::apply,
                    this::answerWithoutOutcome,
                    clients);
        } catch (CompletionException failure) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_SETTINGS,
                    "Cannot listen on the HTTP address "
                            + host
                            + ":"
                            + port
                            + "; free the address or change httpHost and httpPort.");
        }
    }

    /** Refuses all further work with outcome not run. */
    public void stopAcceptingWork() {
        stopping = true;
    }

    /** Returns the answer to a call whose outcome isn't known when the process ends. */
    private HttpResponse answerWithoutOutcome() {
        return refusals.countAndAnswer(
                new Refusal(
                        ErrorCode.DEADLINE_EXCEEDED,
                        ExecutionOutcome.UNKNOWN,
                        "This process stopped before the outcome was known; ask another for it."));
    }

    private CompletionStage<HttpResponse> apply(HttpRequest request) {
        HttpCall call = HttpCall.of(request, clock.nowMilliseconds());
        Optional<CompletionStage<HttpResponse>> answer = health.handle(call);
        if (answer.isPresent()) {
            request.body().discard();
            return answer.get();
        }
        return handleWork(call)
                .handle((response, failure) -> failure == null ? response : refuse(failure));
    }

    private CompletionStage<HttpResponse> handleWork(HttpCall call) {
        try {
            requireNotStopping();
            for (Routes routes : work) {
                Optional<CompletionStage<HttpResponse>> answer = routes.handle(call);
                if (answer.isPresent()) {
                    return answer.get();
                }
            }
            throw RefusalAnswers.invalidRequest(
                    "There is no "
                            + call.method()
                            + " route for this path; see the HTTP interface documentation.");
        } catch (RuntimeException failure) {
            call.request().body().discard();
            return CompletableFuture.failedFuture(failure);
        }
    }

    private void requireNotStopping() {
        if (stopping) {
            throw new MarjoramnotchException(
                    ErrorCode.STOPPING, "This process is stopping; send the request to another.");
        }
    }

    private HttpResponse refuse(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        if (cause instanceof MarjoramnotchException refusal) {
            return refusals.countAndAnswer(refusal.refusal());
        }
        faultLogs
                .tryAcquire()
                .ifPresent(
                        suppressed ->
                                LogEvent.of("call_failed")
                                        .with("suppressed", suppressed)
                                        .error(LOGGER, cause));
        return refusals.countAndAnswer(
                new Refusal(
                        ErrorCode.INVARIANT_VIOLATED,
                        ExecutionOutcome.UNKNOWN,
                        "An internal error occurred; ask an operator to check the process log."));
    }
}
