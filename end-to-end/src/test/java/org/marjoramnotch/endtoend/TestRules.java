package org.marjoramnotch.endtoend;

import org.apache.commons.codec.digest.DigestUtils;

/** Rules, keys and queues that the tests use. */
final class TestRules {
    static final String KEY = "wards-1.secret-of-the-wards";
    static final String SERVICE = "gas-check";
    static final String ONCE_QUEUE = "checks";
    static final String IDEMPOTENT_QUEUE = "permits";
    static final String BATCH_QUEUE = "bundles";
    static final String ONCE_BATCH_QUEUE = "orders";
    static final String GANG_QUEUE = "takeoffs";
    static final String FEED_QUEUE = "notices";
    static final String PRIVATE_FEED_QUEUE = "leaks";

    static final String TEXT =
            """
            team wards share 10 limit 64 # ward office
            key wards-1 team wards sha256 %s # ward office
            queue checks private wards policy quick service gas-check once # inspectors
            queue permits keyed policy quick service gas-check idempotent # owners
            queue notices open wards policy feed service gas-check idempotent # owners
            queue leaks private wards policy feed service gas-check idempotent # fire office
            queue bundles private wards policy batch idempotent # fire office
            queue orders private wards policy batch once # builders
            queue takeoffs private wards policy gang idempotent # fire office
            """
                    .formatted(DigestUtils.sha256Hex("secret-of-the-wards"));

    private TestRules() {}

    /** Returns the rules with another upper limit of the team. */
    static String withLimit(String text, int limit) {
        return text.replaceFirst("limit [0-9]+", "limit " + limit);
    }
}
