package org.marjoramnotch.logic.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.marjoramnotch.model.command.ChangeEndpointState;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.ForgetEndpoint;
import org.marjoramnotch.model.command.RemoveEndpoint;
import org.marjoramnotch.model.endpoint.EndpointDescription;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.endpoint.OpenAttempt;
import org.marjoramnotch.model.endpoint.RegisteredEndpoint;
import org.marjoramnotch.model.endpoint.RetiredIncarnations;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.EndpointId;

/** The registered endpoints of a cell, and the incarnations that may not register again. */
final class EndpointRegistry {
    private static final CommandResult ACCEPTED = new CommandResult.Accepted();

    /**
     * Maximum number of removed endpoints whose retired incarnations are kept; the oldest are
     * dropped.
     */
    private static final int MAXIMUM_RETIRED_ENDPOINTS = 1024;

    private final Map<EndpointId, EndpointSlots> endpoints = new LinkedHashMap<>();
    private final Map<EndpointId, List<String>> retired = new LinkedHashMap<>();

    Optional<EndpointSlots> find(EndpointId endpoint) {
        return Optional.ofNullable(endpoints.get(endpoint));
    }

    private Optional<EndpointSlots> find(EndpointId endpoint, String incarnation) {
        return find(endpoint)
                .filter(slots -> slots.description().incarnation().equals(incarnation));
    }

    EndpointSlots require(OpenAttempt attempt) {
        EndpointSlots slots = endpoints.get(attempt.endpoint());
        Invariant.check(slots != null, "An attempt holds a slot of an unregistered endpoint");
        return slots;
    }

    Collection<EndpointSlots> all() {
        return Collections.unmodifiableCollection(endpoints.values());
    }

    /**
     * Registers, updates or restarts an endpoint.
     *
     * @param endAttempt ends an attempt of the replaced incarnation
     */
    CommandResult register(EndpointDescription description, Consumer<OpenAttempt> endAttempt) {
        EndpointSlots known = endpoints.get(description.endpoint());
        if (known == null) {
            return registerNew(description);
        }
        if (known.isRetired(description.incarnation())) {
            return rejectReplaced(description);
        }
        if (!known.description().incarnation().equals(description.incarnation())) {
            List.copyOf(known.attempts()).forEach(endAttempt);
            known.restart(description);
            return ACCEPTED;
        }
        if (!known.description().service().equals(description.service())) {
            return rejected(
                    ErrorCode.INVALID_REQUEST,
                    "An endpoint cannot change its service; generate a new incarnation.");
        }
        known.updateDescription(description);
        return ACCEPTED;
    }

    private CommandResult registerNew(EndpointDescription description) {
        List<String> incarnations = retired.getOrDefault(description.endpoint(), List.of());
        if (incarnations.contains(description.incarnation())) {
            return rejectReplaced(description);
        }
        retired.remove(description.endpoint());
        add(new RegisteredEndpoint(description, EndpointState.ACTIVE, incarnations));
        return ACCEPTED;
    }

    private static CommandResult rejectReplaced(EndpointDescription description) {
        return rejected(
                ErrorCode.STALE_EPOCH,
                "This incarnation of endpoint "
                        + description.endpoint()
                        + " was replaced or removed; announce again with a new incarnation.");
    }

    private void add(RegisteredEndpoint registered) {
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
        known.ifPresent(this::remove);
        return ACCEPTED;
    }

    /**
     * Removes an endpoint, ends its attempts and retires its incarnation.
     *
     * @param endAttempt ends an attempt of the endpoint
     */
    CommandResult forget(ForgetEndpoint command, Consumer<OpenAttempt> endAttempt) {
        find(command.endpoint(), command.incarnation())
                .ifPresent(
                        slots -> {
                            List.copyOf(slots.attempts()).forEach(endAttempt);
                            slots.retireIncarnation();
                            remove(slots);
                        });
        return ACCEPTED;
    }

    private void remove(EndpointSlots slots) {
        RegisteredEndpoint removed = slots.snapshot();
        EndpointId endpoint = removed.description().endpoint();
        endpoints.remove(endpoint);
        if (removed.retiredIncarnations().isEmpty()) {
            return;
        }
        retired.put(endpoint, removed.retiredIncarnations());
        if (retired.size() > MAXIMUM_RETIRED_ENDPOINTS) {
            retired.remove(retired.keySet().iterator().next());
        }
    }

    List<RegisteredEndpoint> snapshot() {
        return endpoints.values().stream().map(EndpointSlots::snapshot).toList();
    }

    List<RetiredIncarnations> retired() {
        List<RetiredIncarnations> all = new ArrayList<>();
        retired.forEach(
                (endpoint, incarnations) ->
                        all.add(new RetiredIncarnations(endpoint, incarnations)));
        return all;
    }

    void restore(List<RegisteredEndpoint> all, List<RetiredIncarnations> unregistered) {
        endpoints.clear();
        retired.clear();
        unregistered.forEach(removed -> retired.put(removed.endpoint(), removed.incarnations()));
        all.forEach(this::add);
    }

    private static CommandResult rejected(ErrorCode code, String message) {
        return new CommandResult.Rejected(Refusal.notRun(code, message));
    }
}
