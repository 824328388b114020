package org.marjoramnotch.commandline;

import java.security.SecureRandom;
import java.util.Base64;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * The secret part of a team key.
 *
 * @param text the secret as callers send it; contains no dot
 */
record KeySecret(String text) {
    private static final int SECRET_BYTES = 32;

    /** Generates a random secret. */
    static KeySecret generate() {
        byte[] bytes = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(bytes);
        return new KeySecret(Base64.getUrlEncoder().withoutPadding().encodeToString(bytes));
    }

    /** Returns the SHA-256 hash of the text in hexadecimal, as key rules contain it. */
    String sha256() {
        return DigestUtils.sha256Hex(text);
    }
}
