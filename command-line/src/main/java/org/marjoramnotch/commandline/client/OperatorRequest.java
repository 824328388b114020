package org.marjoramnotch.commandline.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * A request that may be resent through another daemon without taking effect twice.
 *
 * @param method the HTTP method
 * @param path the path, from the root
 * @param body the JSON body, if any
 */
public record OperatorRequest(String method, String path, Optional<JsonNode> body) {
    /** Creates a request without a body. */
    public OperatorRequest(String method, String path) {
        this(method, path, Optional.empty());
    }
}
