package org.marjoramnotch.logic.placement;

import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.identifier.TeamName;

/** Receives events about a leader's placement decisions, for metrics. */
public interface PlacementMetricsListener {
    /** A listener that ignores all events. */
    PlacementMetricsListener NONE =
            new PlacementMetricsListener() {
                @Override
                public void onGranted(TeamName team, boolean urgent, long waitedMilliseconds) {}

                @Override
                public void onEnded(TeamName team, long ranMilliseconds) {}

                @Override
                public void onRefused(TeamName team, ErrorCode code) {}
            };

    /** Called when a request has been granted a slot after this wait at the leader. */
    void onGranted(TeamName team, boolean urgent, long waitedMilliseconds);

    /** Called when an attempt that was sent to its endpoint has ended after this running time. */
    void onEnded(TeamName team, long ranMilliseconds);

    /** Called when a feed has been granted a connection after this wait at the leader. */
    default void onFeedGranted(TeamName team, long waitedMilliseconds) {}

    /** Called when a feed has ended after this running time. */
    default void onFeedEnded(TeamName team, long ranMilliseconds) {}

    /** Called when a request of a known team has been refused. */
    void onRefused(TeamName team, ErrorCode code);
}
