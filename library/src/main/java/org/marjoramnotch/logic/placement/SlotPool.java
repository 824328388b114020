package org.marjoramnotch.logic.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.TeamName;

/** The slots of one kind of one service, and the requests that wait for them. */
final class SlotPool {
    private final SlotPoolId id;
    private final EndpointChoice choice;
    private final TreeSet<TeamBacklog> order;
    private final Map<TeamName, TeamBacklog> teams = new HashMap<>();
    private final Map<EndpointId, Integer> capacities = new HashMap<>();
    private int capacity;
    private long shares;

    /**
     * What is to be placed where.
     *
     * @param request the request, still in the backlog of its team
     * @param endpoint an endpoint with a free slot
     */
    record Assignment(WaitingRequest request, EndpointLoad endpoint) {}

    SlotPool(SlotPoolId id, PlacementPolicy policy) {
        this.id = id;
        this.choice = policy.endpointChoice().apply(id.kind());
        this.order = new TreeSet<>(policy.teamOrder());
    }

    SlotPoolId id() {
        return id;
    }

    /** Tells whether any endpoint takes work, now or when a slot becomes free. */
    boolean hasEndpoints() {
        return !capacities.isEmpty();
    }

    /** Returns the slots of all endpoints that take work now or when a slot becomes free. */
    int capacity() {
        return capacity;
    }

    /** Returns the shares of all teams that hold slots or wait. */
    long shares() {
        return shares;
    }

    TeamBacklog team(TeamName team) {
        return teams.computeIfAbsent(team, TeamBacklog::new);
    }

    List<TeamName> activeTeams() {
        return new ArrayList<>(teams.keySet());
    }

    /** Takes what has changed about an endpoint. */
    void refresh(EndpointLoad endpoint, long nowMilliseconds) {
        boolean open = endpoint.isOpen(nowMilliseconds);
        boolean working = open && endpoint.health().takesWork();
        setCapacity(endpoint, open, working);
        if (working && endpoint.hasRoom(id.kind())) {
            choice.put(endpoint);
        } else {
            choice.remove(endpoint);
        }
    }

    /** Forgets an endpoint. */
    void remove(EndpointLoad endpoint) {
        setCapacity(endpoint, false, false);
        choice.remove(endpoint);
    }

    private void setCapacity(EndpointLoad endpoint, boolean open, boolean working) {
        int now = working ? endpoint.slots().capacity(id.kind()) : 0;
        Integer before =
                open ? capacities.put(endpoint.id(), now) : capacities.remove(endpoint.id());
        capacity += now - (before == null ? 0 : before);
    }

    /**
     * Takes what has changed about a team.
     *
     * @param share its weight
     * @param outstanding slots that it holds once what is proposed is applied
     * @param room whether it is below its upper limit
     */
    void refresh(TeamBacklog team, int share, int outstanding, boolean room) {
        if (team.isRanked()) {
            order.remove(team);
            team.ranked(false);
        }
        team.measure(share, outstanding);
        boolean waits = team.waiting() > 0;
        boolean active = waits || outstanding > 0 || team.changing() != 0;
        shares -= team.countedShare();
        team.countedShare(active ? share : 0);
        shares += team.countedShare();
        if (waits && room) {
            order.add(team);
            team.ranked(true);
        }
        if (!active) {
            teams.remove(team.team());
        }
    }

    /** Chooses what to place next; empty when nothing can be. */
    Optional<Assignment> next(long nowMilliseconds) {
        if (order.isEmpty()) {
            return Optional.empty();
        }
        WaitingRequest request = order.first().head().orElseThrow();
        return choose(request, nowMilliseconds, request.excluded())
                .or(() -> choose(request, nowMilliseconds, List.of()))
                .map(endpoint -> new Assignment(request, endpoint));
    }

    private Optional<EndpointLoad> choose(
            WaitingRequest request, long nowMilliseconds, List<EndpointId> excluded) {
        return choice.choose(nowMilliseconds, request.request().zone(), excluded);
    }
}
