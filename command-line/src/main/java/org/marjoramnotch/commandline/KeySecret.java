package org.marjoramnotch.commandline;

import java.security.SecureRandom;
import java.util.Base64;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * The secret part of a team key.
 *
 * @param text the secret as callers send it; has no dot
 */
record KeySecret(String text) {
    private static final int SECRET_BYTES = 32;

    /** Draws a secret. */
    static KeySecret generate() {
        byte[] bytes = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(bytes);
        return new KeySecret(Base64.getUrlEncoder().withoutPadding().encodeToString(bytes));
    }

    /** Returns the SHA-256 of the text, as key rules have it. */
    String sha256() {
        return DigestUtils.sha256Hex(text);
    }
}
