package org.marjoramnotch.logic.evacuation;

import java.util.HashMap;
import java.util.Map;
import org.marjoramnotch.model.fleet.ZoneEvacuation;
import org.marjoramnotch.model.identifier.AvailabilityZone;

/**
 * The availability zones whose workers may be cold, since their evacuation has just ended. Work
 * would be slow there for some seconds.
 */
public final class ColdZones {
    /** How long workers may be cold after an evacuation; a default of the design. */
    static final long COLD_MILLISECONDS = 5_000;

    private final Map<AvailabilityZone, Long> coldUntil = new HashMap<>();

    /**
     * Creates the state of a new leader.
     *
     * @param nowMilliseconds the leader's time
     * @param epochMilliseconds the Unix time, which may differ from that of the earlier leader
     */
    public ColdZones(Evacuations evacuations, long nowMilliseconds, long epochMilliseconds) {
        for (ZoneEvacuation evacuation : evacuations.all()) {
            long since = Math.max(0, epochMilliseconds - evacuation.endedEpochMilliseconds());
            if (!evacuation.active() && since < COLD_MILLISECONDS) {
                coldUntil.put(evacuation.zone(), nowMilliseconds + COLD_MILLISECONDS - since);
            }
        }
    }

    /** Handles the end of an evacuation. */
    public void onFinished(long nowMilliseconds, AvailabilityZone zone) {
        coldUntil.put(zone, nowMilliseconds + COLD_MILLISECONDS);
    }

    /** Returns whether the workers of a zone may be cold. */
    public boolean isCold(long nowMilliseconds, AvailabilityZone zone) {
        return nowMilliseconds < coldUntil.getOrDefault(zone, Long.MIN_VALUE);
    }
}
