package org.marjoramnotch.commandline.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * A request that may be sent again through another daemon without a further effect.
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
