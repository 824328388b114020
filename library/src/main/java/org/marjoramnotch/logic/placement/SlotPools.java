package org.marjoramnotch.logic.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramnotch.logic.configuration.ConfigurationView;
import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.endpoint.OpenAttempt;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.TeamRule;

/** All slot pools of a cell, kept consistent with the ledger and with the proposed commands. */
final class SlotPools {
    private final ConfigurationView configuration;
    private final PlacementState state;
    private final TeamUsage usage;
    private final PlacementPolicy policy;
    private final Map<SlotPoolId, SlotPool> pools = new HashMap<>();
    private final Map<TeamName, Integer> pendingChanges = new HashMap<>();
    private final Set<TeamInPool> atLimit = new LinkedHashSet<>();
    private long configurationVersion;

    private record TeamInPool(SlotPoolId pool, TeamName team) {}

    SlotPools(
            ConfigurationView configuration,
            PlacementState state,
            TeamUsage usage,
            PlacementPolicy policy) {
        this.configuration = configuration;
        this.state = state;
        this.usage = usage;
        this.policy = policy;
        this.configurationVersion = configuration.version();
        for (OpenAttempt open : state.openAttempts()) {
            state.endpoint(open.endpoint())
                    .ifPresent(
                            slots ->
                                    refreshTeam(
                                            new SlotPoolId(
                                                    slots.description().service(), open.kind()),
                                            open.team()));
        }
    }

    SlotPool pool(SlotPoolId id) {
        return pools.computeIfAbsent(id, name -> new SlotPool(name, policy));
    }

    void refreshEndpoint(TrackedEndpoint endpoint, long nowMilliseconds) {
        for (SlotKind kind : SlotKind.values()) {
            pool(new SlotPoolId(endpoint.service(), kind)).refresh(endpoint, nowMilliseconds);
        }
    }

    void removeEndpoint(TrackedEndpoint endpoint) {
        for (SlotKind kind : SlotKind.values()) {
            pool(new SlotPoolId(endpoint.service(), kind)).remove(endpoint);
        }
    }

    /**
     * Updates a pool after a change of a team's backlog, its slots or its distance to the upper
     * limit.
     */
    void refreshTeam(SlotPoolId id, TeamName team) {
        SlotPool pool = pool(id);
        TeamBacklog backlog = pool.team(team);
        boolean belowLimit = usage.remaining(team) > pendingChanges.getOrDefault(team, 0);
        TeamInPool blocked = new TeamInPool(id, team);
        if (belowLimit || backlog.waiting() == 0) {
            atLimit.remove(blocked);
        } else {
            atLimit.add(blocked);
        }
        int share = configuration.team(team).map(TeamRule::share).orElse(1);
        int outstanding = state.inUse(id, team) + backlog.pendingChange();
        pool.refresh(backlog, Math.max(1, share), outstanding, belowLimit);
    }

    /** Updates all teams that are active in the pools of a service. */
    void refreshTeams(ServiceName service) {
        for (SlotKind kind : SlotKind.values()) {
            SlotPoolId id = new SlotPoolId(service, kind);
            pool(id).activeTeams().forEach(team -> refreshTeam(id, team));
        }
    }

    /**
     * Adds a proposed change of the number of slots in use, or reverts it once the change is
     * applied.
     *
     * @param change 1 for a proposed reservation and -1 for a proposed release; the opposite sign
     *     once the change is applied
     */
    void addPendingChange(SlotPoolId pool, TeamName team, TrackedEndpoint endpoint, int change) {
        endpoint.addPendingChange(pool.kind(), change);
        pool(pool).team(team).pendingChange(change);
        pendingChanges.merge(
                team, change, (before, more) -> before + more == 0 ? null : before + more);
    }

    /** Returns the teams with waiting requests. */
    Set<TeamName> waitingTeams() {
        Set<TeamName> waiting = new HashSet<>();
        for (SlotPool pool : pools.values()) {
            pool.activeTeams().stream()
                    .filter(team -> pool.team(team).waiting() > 0)
                    .forEach(waiting::add);
        }
        return waiting;
    }

    /**
     * Re-evaluates the teams that were at their upper limit and, after a change of the rules, all
     * shares.
     *
     * @return the pools in which a request may now be placed
     */
    List<SlotPool> refreshLimits() {
        Set<SlotPool> changed = new LinkedHashSet<>();
        if (configuration.version() != configurationVersion) {
            configurationVersion = configuration.version();
            for (SlotPool pool : List.copyOf(pools.values())) {
                pool.activeTeams().forEach(team -> refreshTeam(pool.id(), team));
                changed.add(pool);
            }
        }
        for (TeamInPool blocked : List.copyOf(atLimit)) {
            refreshTeam(blocked.pool(), blocked.team());
            if (!atLimit.contains(blocked)) {
                changed.add(pool(blocked.pool()));
            }
        }
        return new ArrayList<>(changed);
    }
}
