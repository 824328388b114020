package org.marjoramnotch.logic.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * The slots of one kind that the endpoints of a service offer, and the requests that wait for them.
 */
final class SlotPool {
    private final SlotPoolId id;
    private final EndpointSelector endpointSelector;
    private final TreeSet<TeamBacklog> teamsByPriority;
    private final Map<TeamName, TeamBacklog> teams = new HashMap<>();
    private final Map<EndpointId, Integer> capacities = new HashMap<>();
    private int capacity;
    private long totalShares;

    /**
     * A request and the endpoint to place it on.
     *
     * @param request the request, still in the backlog of its team
     * @param endpoint an endpoint with a free slot
     */
    record Assignment(WaitingRequest request, TrackedEndpoint endpoint) {}

    SlotPool(SlotPoolId id, PlacementPolicy policy) {
        this.id = id;
        this.endpointSelector = policy.endpointSelector().apply(id.kind());
        this.teamsByPriority = new TreeSet<>(policy.teamOrder());
    }

    SlotPoolId id() {
        return id;
    }

    /** Returns whether any endpoint accepts work, either now or once a slot becomes free. */
    boolean hasActiveEndpoints() {
        return !capacities.isEmpty();
    }

    /**
     * Returns the total number of slots of the endpoints that accept work, either now or once a
     * slot becomes free.
     */
    int capacity() {
        return capacity;
    }

    /** Returns the sum of the shares of all teams that hold slots or have waiting requests. */
    long totalShares() {
        return totalShares;
    }

    TeamBacklog team(TeamName team) {
        return teams.computeIfAbsent(team, TeamBacklog::new);
    }

    List<TeamName> activeTeams() {
        return new ArrayList<>(teams.keySet());
    }

    /** Updates the pool after a change of an endpoint. */
    void refresh(TrackedEndpoint endpoint, long nowMilliseconds) {
        boolean open = endpoint.acceptsWork(nowMilliseconds);
        boolean working = open && endpoint.health().acceptsWork();
        setCapacity(endpoint, open, working);
        if (working && endpoint.hasFreeSlot(id.kind())) {
            endpointSelector.put(endpoint);
        } else {
            endpointSelector.remove(endpoint);
        }
    }

    /** Removes an endpoint from the pool. */
    void remove(TrackedEndpoint endpoint) {
        setCapacity(endpoint, false, false);
        endpointSelector.remove(endpoint);
    }

    private void setCapacity(TrackedEndpoint endpoint, boolean open, boolean working) {
        int now = working ? endpoint.slots().capacity(id.kind()) : 0;
        Integer before =
                open ? capacities.put(endpoint.id(), now) : capacities.remove(endpoint.id());
        capacity += now - (before == null ? 0 : before);
    }

    /**
     * Updates the pool after a change of a team.
     *
     * @param share the weight of the team
     * @param outstanding number of slots that it holds once all proposed commands are applied
     * @param belowLimit whether the team is below its upper limit
     */
    void refresh(TeamBacklog team, int share, int outstanding, boolean belowLimit) {
        if (team.isInOrder()) {
            teamsByPriority.remove(team);
            team.inOrder(false);
        }
        team.updateOrderKeys(share, outstanding);
        boolean waits = team.waiting() > 0;
        boolean active = waits || outstanding > 0 || team.pendingChange() != 0;
        totalShares -= team.countedShare();
        team.countedShare(active ? share : 0);
        totalShares += team.countedShare();
        if (waits && belowLimit) {
            teamsByPriority.add(team);
            team.inOrder(true);
        }
        if (!active) {
            teams.remove(team.team());
        }
    }

    /** Returns the next request to place and its endpoint, or empty if no request can be placed. */
    Optional<Assignment> nextAssignment(long nowMilliseconds) {
        if (teamsByPriority.isEmpty()) {
            return Optional.empty();
        }
        WaitingRequest request = teamsByPriority.first().head().orElseThrow();
        return selectEndpoint(request, nowMilliseconds, request.excluded())
                .or(() -> selectEndpoint(request, nowMilliseconds, List.of()))
                .map(endpoint -> new Assignment(request, endpoint));
    }

    private Optional<TrackedEndpoint> selectEndpoint(
            WaitingRequest request, long nowMilliseconds, List<EndpointId> excluded) {
        return endpointSelector.select(nowMilliseconds, request.request().zone(), excluded);
    }
}
