package org.marjoramnotch.model.message;

import java.util.Optional;
import org.marjoramnotch.model.identifier.QueueName;

/**
 * The target of a caller's call, before its queue has been determined.
 *
 * @param queue the queue named by the call; empty if host and path determine it
 * @param host the host named by the call; empty if the call names a queue
 * @param path the path, in which the part after the prefix of the queue is the name of the
 *     workflow; if the call names a queue, only the name of the workflow
 * @param key the key that was sent with the call, if any
 */
public record CallTarget(
        Optional<QueueName> queue, String host, String path, Optional<String> key) {
    /** Creates the target of a call whose queue is determined by host and path. */
    public CallTarget(String host, String path, Optional<String> key) {
        this(Optional.empty(), host, path, key);
    }

    /**
     * Returns the target of a call that names a queue and a workflow; an empty name stands for all
     * workflows of the queue.
     */
    public static CallTarget of(QueueName queue, String workflow, Optional<String> key) {
        return new CallTarget(Optional.of(queue), "", workflow, key);
    }

    /** Omits the key, so that it does not appear in logs. */
    @Override
    public String toString() {
        return "CallTarget[queue=" + queue + ", host=" + host + ", path=" + path + "]";
    }
}
