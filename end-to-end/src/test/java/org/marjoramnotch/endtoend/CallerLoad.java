package org.marjoramnotch.endtoend;

import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntPredicate;

/** Sends quick requests from concurrent callers through all entries. */
final class CallerLoad {
    private static final long PAUSE_MILLISECONDS = 10;

    private final HttpCaller caller;
    private final List<String> addresses;
    private final String queue;
    private final String key;
    private final String run = UUID.randomUUID().toString();
    private final AtomicInteger endedRequests = new AtomicInteger();

    CallerLoad(HttpCaller caller, List<String> addresses, String queue, String key) {
        this.caller = caller;
        this.addresses = addresses;
        this.queue = queue;
        this.key = key;
    }

    /** Runs concurrent callers. The disturbance runs once half of the requests have ended. */
    List<CallerAnswer> run(int callers, int requestsEach, Runnable disturbance) {
        return run(
                callers,
                request -> request < requestsEach,
                () -> {
                    Poll.until(
                            "half of the load",
                            () -> endedRequests.get() >= callers * requestsEach / 2);
                    disturbance.run();
                });
    }

    /** Runs concurrent callers until the disturbance has returned. */
    List<CallerAnswer> runDuring(int callers, Runnable disturbance) {
        AtomicBoolean over = new AtomicBoolean();
        return run(
                callers,
                request -> {
                    Poll.pause(PAUSE_MILLISECONDS);
                    return !over.get();
                },
                () -> {
                    try {
                        Poll.until("each caller is served", () -> endedRequests.get() >= callers);
                        disturbance.run();
                    } finally {
                        over.set(true);
                    }
                });
    }

    /** Starts slow requests through one daemon and returns once all of them are running. */
    List<CompletableFuture<CallerAnswer>> startSlow(
            StandInEndpoints endpoints, String address, int requests) {
        List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
        for (int number = 0; number < requests; number++) {
            String body = run + "-slow-" + number;
            answers.add(
                    CompletableFuture.supplyAsync(
                            () -> call(address, "slow", body), HttpCaller.THREADS));
            Poll.until("a slow request runs", () -> endpoints.executions(body) > 0);
        }
        return answers;
    }

    private List<CallerAnswer> run(int callers, IntPredicate shouldContinue, Runnable disturbance) {
        ExecutorService threads = Executors.newFixedThreadPool(callers);
        try {
            List<Future<List<CallerAnswer>>> futures = new ArrayList<>();
            for (int number = 0; number < callers; number++) {
                int callerNumber = number;
                futures.add(threads.submit(() -> runOne(callerNumber, shouldContinue)));
            }
            disturbance.run();
            List<CallerAnswer> answers = new ArrayList<>();
            for (Future<List<CallerAnswer>> future : futures) {
                answers.addAll(future.get());
            }
            return answers;
        } catch (InterruptedException | ExecutionException exception) {
            throw new IllegalStateException(exception);
        } finally {
            threads.shutdownNow();
        }
    }

    private List<CallerAnswer> runOne(int number, IntPredicate shouldContinue) {
        List<CallerAnswer> answers = new ArrayList<>();
        for (int request = 0; shouldContinue.test(request); request++) {
            String address = addresses.get((number + request) % addresses.size());
            answers.add(call(address, run + "-" + number + "-" + request));
            endedRequests.incrementAndGet();
        }
        return answers;
    }

    CallerAnswer call(String address, String body) {
        return call(address, "echo", body);
    }

    private CallerAnswer call(String address, String path, String body) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create(address + "/v1/queues/" + queue + "/requests/" + path))
                        .header("Authorization", "Bearer " + key)
                        .header("Content-Type", "text/plain")
                        .header("Marjoramnotch-Deadline-Milliseconds", "10000")
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        try {
            HttpResponse<String> answer = caller.send(request);
            String outcome = answer.headers().firstValue("Marjoramnotch-Outcome").orElse(null);
            return new CallerAnswer(address, body, answer.statusCode(), outcome, answer.body());
        } catch (UncheckedIOException exception) {
            return new CallerAnswer(address, body, 0, null, "");
        }
    }
}
