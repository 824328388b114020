package org.marjoramnotch.model.message;

import java.util.Optional;

/**
 * What a caller's call is about, before a queue is found for it.
 *
 * @param host the host that the call names
 * @param path the path, whose rest after the prefix of its queue names the workflow
 * @param key the key that came with the call, if any
 */
public record CallTarget(String host, String path, Optional<String> key) {
    /** Hides the key. */
    @Override
    public String toString() {
        return "CallTarget[host=" + host + ", path=" + path + "]";
    }
}
