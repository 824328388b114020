package org.marjoramnotch.logic.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.RequestId;

/**
 * Keeps the most recently accepted changes in the order of their acceptance, so that every replica
 * discards the same ones.
 */
final class AcceptedRequestHistory {
    /**
     * Number of changes kept. A resend of an older change is refused with a version conflict and
     * changes nothing.
     */
    static final int CAPACITY = 4_096;

    private final Map<RequestId, AcceptedRequest> requests =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<RequestId, AcceptedRequest> eldest) {
                    return size() > CAPACITY;
                }
            };

    void add(AcceptedRequest request) {
        requests.put(request.request(), request);
    }

    /**
     * Returns the accepted change that a request is a resend of.
     *
     * @throws MarjoramnotchException with {@code REQUEST_ID_REUSED} if another change was accepted
     *     under this request identifier
     */
    Optional<AcceptedRequest> find(RequestId request, String contentSha256) {
        AcceptedRequest found = requests.get(request);
        if (found != null && !found.contentSha256().equals(contentSha256)) {
            throw requestIdReused(request);
        }
        return Optional.ofNullable(found);
    }

    List<AcceptedRequest> all() {
        return List.copyOf(requests.values());
    }

    static MarjoramnotchException requestIdReused(RequestId request) {
        return new MarjoramnotchException(
                ErrorCode.REQUEST_ID_REUSED,
                "Request identifier "
                        + request
                        + " was already used for another change, which is not affected; send this"
                        + " change under a new request identifier.");
    }
}
