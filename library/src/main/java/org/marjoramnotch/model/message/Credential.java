package org.marjoramnotch.model.message;

import org.marjoramnotch.model.identifier.KeyId;

/**
 * A key as an entry forwards it. The secret itself never leaves the entry.
 *
 * @param key the public identifier of the key
 * @param secretSha256 SHA-256 of the secret part, 64 lower-case hexadecimal digits
 */
public record Credential(KeyId key, String secretSha256) {}
