package org.marjoramnotch.logic.placement;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.marjoramnotch.model.command.ChangeEndpointState;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.RemoveEndpoint;
import org.marjoramnotch.model.endpoint.EndpointDescription;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.endpoint.OpenAttempt;
import org.marjoramnotch.model.endpoint.RegisteredEndpoint;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.EndpointId;

/** The registered endpoints. */
final class EndpointRegistry {
    private static final CommandResult ACCEPTED = new CommandResult.Accepted();

    private final Map<EndpointId, EndpointSlots> endpoints = new LinkedHashMap<>();

    Optional<EndpointSlots> find(EndpointId endpoint) {
        return Optional.ofNullable(endpoints.get(endpoint));
    }

    private Optional<EndpointSlots> find(EndpointId endpoint, String incarnation) {
        return find(endpoint)
                .filter(slots -> slots.description().incarnation().equals(incarnation));
    }

    EndpointSlots require(OpenAttempt attempt) {
        EndpointSlots slots = endpoints.get(attempt.endpoint());
        Invariant.check(slots != null, "An attempt holds a slot of no endpoint");
        return slots;
    }

    Collection<EndpointSlots> all() {
        return Collections.unmodifiableCollection(endpoints.values());
    }

    /**
     * Registers, changes or restarts an endpoint.
     *
     * @param endAttempt ends an attempt of the incarnation that is replaced
     */
    CommandResult register(EndpointDescription description, Consumer<OpenAttempt> endAttempt) {
        EndpointSlots known = endpoints.get(description.endpoint());
        if (known == null) {
            add(new RegisteredEndpoint(description, EndpointState.ACTIVE, List.of()));
            return ACCEPTED;
        }
        if (known.isRetired(description.incarnation())) {
            return rejected(
                    ErrorCode.STALE_EPOCH,
                    "Another incarnation of endpoint "
                            + description.endpoint()
                            + " has replaced this one; draw a new incarnation and announce again.");
        }
        if (!known.description().incarnation().equals(description.incarnation())) {
            List.copyOf(known.attempts()).forEach(endAttempt);
            known.restart(description);
            return ACCEPTED;
        }
        if (!known.description().service().equals(description.service())) {
            return rejected(
                    ErrorCode.INVALID_REQUEST,
                    "An endpoint cannot change its service; draw a new incarnation.");
        }
        known.describe(description);
        return ACCEPTED;
    }

    void add(RegisteredEndpoint registered) {
        endpoints.put(registered.description().endpoint(), new EndpointSlots(registered));
    }

    CommandResult changeState(ChangeEndpointState command) {
        find(command.endpoint(), command.incarnation())
                .ifPresent(slots -> slots.changeState(command.state()));
        return ACCEPTED;
    }

    CommandResult remove(RemoveEndpoint command) {
        Optional<EndpointSlots> known = find(command.endpoint(), command.incarnation());
        if (known.isPresent() && !known.get().attempts().isEmpty()) {
            return rejected(
                    ErrorCode.INVALID_REQUEST,
                    "Endpoint " + command.endpoint() + " has open attempts; end them first.");
        }
        known.ifPresent(slots -> endpoints.remove(command.endpoint()));
        return ACCEPTED;
    }

    List<RegisteredEndpoint> snapshot() {
        return endpoints.values().stream().map(EndpointSlots::snapshot).toList();
    }

    void restore(List<RegisteredEndpoint> all) {
        endpoints.clear();
        all.forEach(this::add);
    }

    private static CommandResult rejected(ErrorCode code, String message) {
        return new CommandResult.Rejected(Refusal.notRun(code, message));
    }
}
