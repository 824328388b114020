package org.marjoramnotch.logic.placement;

import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.identifier.TeamName;

/** Takes what a leader's placement decisions are measured by. */
public interface PlacementMetricsListener {
    /** Takes nothing. */
    PlacementMetricsListener NONE =
            new PlacementMetricsListener() {
                @Override
                public void onGranted(TeamName team, boolean urgent, long waitedMilliseconds) {}

                @Override
                public void onEnded(TeamName team, long ranMilliseconds) {}

                @Override
                public void onRefused(TeamName team, ErrorCode code) {}
            };

    /** A request was granted after this wait at the leader. */
    void onGranted(TeamName team, boolean urgent, long waitedMilliseconds);

    /** An attempt that was sent ended after this time. */
    void onEnded(TeamName team, long ranMilliseconds);

    /** A feed was granted after this wait at the leader. */
    default void onFeedGranted(TeamName team, long waitedMilliseconds) {}

    /** A feed ended after this time. */
    default void onFeedEnded(TeamName team, long ranMilliseconds) {}

    /** A request of a known team was refused. */
    void onRefused(TeamName team, ErrorCode code);
}
