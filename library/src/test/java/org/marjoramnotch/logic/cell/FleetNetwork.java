package org.marjoramnotch.logic.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;

/** The delays and cuts between the machines of three availability zones. */
final class FleetNetwork {
    private static final int WITHIN_ZONE_MICROSECONDS = 100;
    private static final int BETWEEN_ZONES_MICROSECONDS = 1_400;
    private static final int JITTER_MICROSECONDS = 60;
    private static final double SLOW_SHARE = 0.02;
    private static final int SLOW_MICROSECONDS = 5_000;

    /**
     * A machine.
     *
     * @param name its name
     * @param zone the number of its availability zone
     */
    record Machine(String name, int zone) {}

    /** What a caller sees of a cut. */
    enum CutResponse {
        SILENCE,
        REFUSED_CONNECTION,
        RESET_CONNECTION
    }

    private record Link(Machine from, Machine to) {}

    private final UniformRandomProvider random;
    private final Map<Link, CutResponse> cuts = new HashMap<>();

    FleetNetwork(UniformRandomProvider random) {
        this.random = random;
    }

    void cut(Machine from, Machine to) {
        cut(from, to, CutResponse.SILENCE);
    }

    void cut(Machine from, Machine to, CutResponse response) {
        cuts.put(new Link(from, to), response);
    }

    void heal(Machine from, Machine to) {
        cuts.remove(new Link(from, to));
    }

    void healAll() {
        cuts.clear();
    }

    boolean isCut(Machine from, Machine to) {
        return cuts.containsKey(new Link(from, to));
    }

    /** Returns what a caller sees of a link that is cut. */
    CutResponse cutResponse(Machine from, Machine to) {
        return Objects.requireNonNull(cuts.get(new Link(from, to)));
    }

    /** Returns the delay of a message, in microseconds. */
    long delay(Machine from, Machine to) {
        long delay =
                from.zone() == to.zone() ? WITHIN_ZONE_MICROSECONDS : BETWEEN_ZONES_MICROSECONDS;
        delay += random.nextInt(JITTER_MICROSECONDS) - JITTER_MICROSECONDS / 3;
        return random.nextDouble() < SLOW_SHARE ? delay + random.nextInt(SLOW_MICROSECONDS) : delay;
    }
}
