package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;

/** Checks that the reads of a versioned configuration are linearizable. */
final class ConfigurationHistory {
    private final String name;
    private final Map<Long, String> contents = new HashMap<>();
    private long latest;

    ConfigurationHistory(String name, long initialVersion) {
        this.name = name;
        this.latest = initialVersion;
    }

    /** Returns the lowest version that a read which is sent now may show. */
    long latest() {
        return latest;
    }

    void onConfirmed(long version) {
        latest = Math.max(latest, version);
    }

    /**
     * Checks a read.
     *
     * @param required the lowest version when the read was sent
     */
    void onRead(long required, long version, String content) {
        assertThat(version).as("version of the %s read", name).isGreaterThanOrEqualTo(required);
        checkContent(version, content);
        onConfirmed(version);
    }

    /** Checks that a version has the same content whenever it is shown. */
    void checkContent(long version, String content) {
        String known = contents.putIfAbsent(version, content);
        assertThat(content)
                .as("%s of version %s", name, version)
                .isEqualTo(known == null ? content : known);
    }
}
