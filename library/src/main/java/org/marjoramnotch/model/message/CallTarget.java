package org.marjoramnotch.model.message;

import java.util.Optional;
import org.marjoramnotch.model.identifier.QueueName;

/**
 * What a caller's call is about, before a queue is found for it.
 *
 * @param queue the queue that the call names; empty if host and path tell
 * @param host the host that the call names; empty if it names a queue
 * @param path the path, whose rest after the prefix of its queue names the workflow; only that name
 *     if the call names a queue
 * @param key the key that came with the call, if any
 */
public record CallTarget(
        Optional<QueueName> queue, String host, String path, Optional<String> key) {
    /** Returns the target of a call whose queue follows from host and path. */
    public CallTarget(String host, String path, Optional<String> key) {
        this(Optional.empty(), host, path, key);
    }

    /** Returns the target of a call that names a queue and a workflow, or all of them if empty. */
    public static CallTarget of(QueueName queue, String workflow, Optional<String> key) {
        return new CallTarget(Optional.of(queue), "", workflow, key);
    }

    /** Hides the key. */
    @Override
    public String toString() {
        return "CallTarget[queue=" + queue + ", host=" + host + ", path=" + path + "]";
    }
}
