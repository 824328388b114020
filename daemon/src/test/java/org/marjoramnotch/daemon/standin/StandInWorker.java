package org.marjoramnotch.daemon.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;

/**
 * Worker for tests. The payload of a task is its run time in milliseconds, or "fail" if it fails
 * immediately. Each start and end of a task is printed as one line.
 */
public final class StandInWorker {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long RENEWAL_WAIT_MILLISECONDS = 500;
    private static final long RETRY_MILLISECONDS = 200;

    private final String name;
    private final String capacity;
    private final StandInClient calls;
    private final Map<JsonNode, Long> running = new LinkedHashMap<>();
    private final List<ObjectNode> ended = new ArrayList<>();
    private long epoch;
    private long leaseEndsMilliseconds;

    private StandInWorker(String name, String capacity, StandInClient calls) {
        this.name = name;
        this.capacity = capacity;
        this.calls = calls;
    }

    /** Runs until it is killed; arguments: NAME PROCESSOR_MILLIS MEMORY_MEGABYTES ADDRESS... */
    public static void main(String[] arguments) {
        String capacity =
                "{\"processorMillis\":%s,\"memoryMegabytes\":%s,\"accelerators\":0,"
                                .formatted(arguments[1], arguments[2])
                        + "\"zone\":\"zone-1\",\"rack\":\"rack-1\"}";
        StandInWorker worker =
                new StandInWorker(arguments[0], capacity, new StandInClient(arguments, 3));
        while (true) {
            worker.runOnce();
        }
    }

    private void runOnce() {
        if (now() >= leaseEndsMilliseconds) {
            stopAll();
        }
        if (epoch == 0) {
            announce();
        } else {
            renew();
        }
    }

    private void announce() {
        long sent = now();
        StandInClient.Answer answer = calls.put("/v1/workers/" + name, capacity);
        if (answer.status() != 200) {
            LockSupport.parkNanos(RETRY_MILLISECONDS * 1_000_000);
            return;
        }
        accept(sent, answer);
    }

    private void renew() {
        collectEnded();
        int reported = ended.size();
        long sent = now();
        StandInClient.Answer answer =
                calls.post(
                        "/v1/workers/" + name + "/renewals",
                        renewal(),
                        Duration.ofMillis(RENEWAL_WAIT_MILLISECONDS));
        if (answer.status() == 200) {
            ended.subList(0, reported).clear();
            accept(sent, answer);
        } else if (answer.status() == 409 || answer.status() == 404) {
            stopAll();
        } else {
            LockSupport.parkNanos(RETRY_MILLISECONDS * 1_000_000);
        }
    }

    private void accept(long sentMilliseconds, StandInClient.Answer answer) {
        epoch = answer.body().path("epoch").asLong();
        leaseEndsMilliseconds = sentMilliseconds + answer.body().path("leaseMilliseconds").asLong();
        answer.body().path("orders").forEach(this::execute);
    }

    private void execute(JsonNode order) {
        JsonNode attempt = order.path("attempt");
        switch (order.path("type").asText()) {
            case "start" -> start(attempt, order);
            case "stop", "checkpoint" -> {
                if (running.remove(attempt) != null) {
                    end(attempt, "stopped");
                }
            }
            default -> {
                // Throttling has no effect on the runs of a stand-in.
            }
        }
    }

    private void start(JsonNode attempt, JsonNode order) {
        boolean known = running.containsKey(attempt) || isEnded(attempt);
        if (known || order.path("epoch").asLong() != epoch) {
            return;
        }
        System.out.println("event=task_started attempt=" + attempt);
        String payload = order.path("payload").asText();
        if (payload.equals("fail")) {
            end(attempt, "failed");
        } else {
            running.put(attempt, now() + Long.parseLong(payload));
        }
    }

    private boolean isEnded(JsonNode attempt) {
        return ended.stream().anyMatch(end -> end.path("attempt").equals(attempt));
    }

    private void collectEnded() {
        for (Iterator<Map.Entry<JsonNode, Long>> all = running.entrySet().iterator();
                all.hasNext(); ) {
            Map.Entry<JsonNode, Long> run = all.next();
            if (run.getValue() <= now()) {
                all.remove();
                end(run.getKey(), "succeeded");
            }
        }
    }

    private void end(JsonNode attempt, String outcome) {
        System.out.println("event=task_ended attempt=" + attempt + " end=" + outcome);
        ObjectNode report = MAPPER.createObjectNode();
        report.set("attempt", attempt);
        report.put("end", outcome);
        ended.add(report);
    }

    private void stopAll() {
        running.keySet().forEach(run -> System.out.println("event=task_dropped attempt=" + run));
        running.clear();
        ended.clear();
        epoch = 0;
    }

    private String renewal() {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("epoch", epoch);
        body.put("waitMilliseconds", running.isEmpty() ? RENEWAL_WAIT_MILLISECONDS : 50);
        ArrayNode runs = body.putArray("running");
        running.keySet().forEach(runs::add);
        body.putArray("ended").addAll(ended);
        body.putArray("usage");
        return body.toString();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }
}
