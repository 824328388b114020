package org.marjoramnotch.endtoend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpResponse;

/** Reads and changes the rules as operators do. */
final class RulesTestClient {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpCaller caller;

    RulesTestClient(HttpCaller caller) {
        this.caller = caller;
    }

    /** Returns the version and the text of the rules once the daemon reports them. */
    JsonNode read(DaemonProcess daemon) {
        return await("GET", daemon, "");
    }

    /** Changes the rules, retrying while the cell cannot commit, and returns their new version. */
    long change(DaemonProcess daemon, String requestId, long expectedVersion, String text) {
        String body = body(requestId, expectedVersion, text);
        return await("PUT", daemon, body).path("version").asLong();
    }

    /** Sends a change without retrying. */
    HttpResponse<String> send(
            DaemonProcess daemon, String requestId, long expectedVersion, String text) {
        return caller.operator("PUT", uri(daemon), body(requestId, expectedVersion, text));
    }

    private JsonNode await(String method, DaemonProcess daemon, String body) {
        JsonNode[] answer = new JsonNode[1];
        Poll.until(
                method + " of the rules is answered",
                () -> {
                    HttpResponse<String> response = caller.operator(method, uri(daemon), body);
                    answer[0] = Json.read(response.body());
                    return response.statusCode() == 200;
                });
        return answer[0];
    }

    private static String uri(DaemonProcess daemon) {
        return daemon.httpAddress() + "/v1/operator/rules";
    }

    private static String body(String requestId, long expectedVersion, String text) {
        ObjectNode change = JSON.createObjectNode();
        change.put("requestId", requestId).put("expectedVersion", expectedVersion);
        return change.put("text", text).toString();
    }
}
