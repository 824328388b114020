package org.marjoramnotch.daemon;

import java.util.UUID;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.XoRoShiRo128PlusPlus;

/** Creates generators of random numbers that differ between processes. */
final class RandomSources {
    private RandomSources() {}

    /** Returns a new generator. The factory of the library would load all its generators. */
    static UniformRandomProvider create() {
        UUID seed = UUID.randomUUID();
        return new XoRoShiRo128PlusPlus(
                seed.getMostSignificantBits(), seed.getLeastSignificantBits());
    }
}
