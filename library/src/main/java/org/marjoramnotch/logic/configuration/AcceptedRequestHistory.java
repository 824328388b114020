package org.marjoramnotch.logic.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.RequestId;

/** Remembers the last accepted changes in their order, so that every replica forgets the same. */
final class AcceptedRequestHistory {
    /** How many are kept; a resend of an older one gets a version conflict and changes nothing. */
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
     * Returns the accepted change that this is a resend of.
     *
     * @throws MarjoramnotchException with {@code REQUEST_ID_REUSED} if another change had the name
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
                "Request "
                        + request
                        + " was sent before with another change, which is not affected; send this"
                        + " change under a new request identifier.");
    }
}
