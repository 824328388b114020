package org.marjoramnotch.logic.job;

/**
 * What a task does in truth, carried in its payload.
 *
 * @param runMilliseconds how long it runs
 * @param failingPercent how many of its runs fail
 */
record FakePayload(long runMilliseconds, int failingPercent) {
    static FakePayload parse(String text) {
        String[] parts = text.split(" ");
        return new FakePayload(Long.parseLong(parts[0]), Integer.parseInt(parts[1]));
    }

    String text() {
        return runMilliseconds + " " + failingPercent;
    }
}
