package org.marjoramnotch.endtoend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpResponse;

/** Submits jobs and follows them, as callers do. */
final class JobClient {
    private static final ObjectMapper JSON = new ObjectMapper();

    private static final long WATCH_MILLISECONDS = 2_500;

    private final HttpCaller caller;
    private final String key;

    JobClient(HttpCaller caller, String key) {
        this.caller = caller;
        this.key = key;
    }

    /** Submits a job and returns its name. */
    String submit(String address, String queue, int tasks, String payload) {
        ObjectNode body = JSON.createObjectNode();
        body.put("name", "bundle").put("tasks", tasks).put("payload", payload);
        body.put("processorMillis", 500).put("memoryMegabytes", 100).put("accelerators", 0);
        body.put("expectedRunMilliseconds", 100).put("urgent", false);
        HttpResponse<String> answer =
                caller.send(
                        "POST", address + "/v1/queues/" + queue + "/jobs", key, body.toString());
        if (answer.statusCode() != 202) {
            throw new AssertionError(answer.statusCode() + " " + answer.body());
        }
        return Json.read(answer.body()).path("job").asText();
    }

    /** Returns the current status of the job. */
    JsonNode status(String address, String job) {
        return get(address, job, "");
    }

    /**
     * Returns the status of a queued job after the daemon has held the request until the state
     * changed or the waiting time was over.
     */
    JsonNode watch(String address, String job) {
        return get(address, job, "?known=queued&waitMilliseconds=" + WATCH_MILLISECONDS);
    }

    private JsonNode get(String address, String job, String query) {
        String uri = address + "/v1/jobs/" + job + query;
        return Json.read(caller.send("GET", uri, key, "").body());
    }

    /** Returns the status of the job once it has ended. */
    JsonNode awaitEnd(String address, String job) {
        JsonNode[] status = new JsonNode[1];
        Poll.until(
                "job " + job + " has ended",
                () -> {
                    String uri = address + "/v1/jobs/" + job + "?waitMilliseconds=1000";
                    HttpResponse<String> answer = caller.send("GET", uri, key, "");
                    status[0] = Json.read(answer.body());
                    String state = status[0].path("state").asText();
                    return answer.statusCode() == 200
                            && !state.equals("queued")
                            && !state.equals("running");
                });
        return status[0];
    }
}
