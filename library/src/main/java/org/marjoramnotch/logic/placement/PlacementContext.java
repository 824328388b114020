package org.marjoramnotch.logic.placement;

import org.marjoramnotch.logic.configuration.ConfigurationView;
import org.marjoramnotch.logic.ledger.TeamUsage;

/** Connects the components of a leader's placement for one term. */
final class PlacementContext {
    private final PlacementSettings settings;
    private final ConfigurationView configuration;
    private final PlacementState state;
    private final PlacementMetricsListener metricsListener;
    private final SlotPools pools;
    private final EntryLeases entries;
    private final EndpointLeases endpoints;
    private final AttemptReleases releases;
    private final RequestPlacer placer;

    PlacementContext(
            PlacementSettings settings,
            ConfigurationView configuration,
            PlacementState state,
            TeamUsage usage,
            PlacementPolicy policy,
            PlacementMetricsListener metricsListener,
            long termStartMilliseconds) {
        this.settings = settings;
        this.configuration = configuration;
        this.state = state;
        this.metricsListener = metricsListener;
        this.pools = new SlotPools(configuration, state, usage, policy);
        this.entries = new EntryLeases(this, termStartMilliseconds);
        this.releases = new AttemptReleases(this);
        this.placer = new RequestPlacer(this);
        this.endpoints = new EndpointLeases(this, termStartMilliseconds);
    }

    PlacementSettings settings() {
        return settings;
    }

    ConfigurationView configuration() {
        return configuration;
    }

    PlacementState state() {
        return state;
    }

    PlacementMetricsListener metricsListener() {
        return metricsListener;
    }

    SlotPools pools() {
        return pools;
    }

    EntryLeases entries() {
        return entries;
    }

    EndpointLeases endpoints() {
        return endpoints;
    }

    AttemptReleases releases() {
        return releases;
    }

    RequestPlacer placer() {
        return placer;
    }
}
