package org.marjoramnotch.logic.configuration;

import org.apache.commons.codec.digest.DigestUtils;

/**
 * A key in a log entry. The key is hashed only when the entry is written, since most entries of a
 * burst are left out.
 */
public final class KeyFingerprint {
    private static final int LENGTH = 12;

    private final String key;

    /** Creates the fingerprint of a key. */
    public KeyFingerprint(String key) {
        this.key = key;
    }

    /** Returns the first digits of the SHA-256 of the key. */
    @Override
    public String toString() {
        return DigestUtils.sha256Hex(key).substring(0, LENGTH);
    }
}
