package org.marjoramnotch.logic.configuration;

import java.util.LinkedHashSet;
import java.util.Set;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.ChangeConfiguration;

/** A proposed change with all requests that wait for its result. */
final class PendingChange {
    private final ChangeConfiguration command;
    private final String canonicalText;
    private final Set<RequestHandle> handles = new LinkedHashSet<>();

    PendingChange(ChangeConfiguration command, String canonicalText, RequestHandle handle) {
        this.command = command;
        this.canonicalText = canonicalText;
        handles.add(handle);
    }

    /**
     * Adds a resend, which gets the same answer; refuses another change under the same request
     * identifier.
     */
    void addResend(RequestHandle handle, String contentSha256) {
        if (!command.contentSha256().equals(contentSha256)) {
            throw AcceptedRequestHistory.requestIdReused(command.request());
        }
        handles.add(handle);
    }

    boolean matches(ChangeConfiguration applied) {
        return command.contentSha256().equals(applied.contentSha256());
    }

    /** Returns the requested rules as canonical text. */
    String canonicalText() {
        return canonicalText;
    }

    Set<RequestHandle> handles() {
        return handles;
    }
}
