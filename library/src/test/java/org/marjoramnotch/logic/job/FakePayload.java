package org.marjoramnotch.logic.job;

/**
 * The actual behaviour of a simulated task, encoded in its payload.
 *
 * @param runMilliseconds how long a run takes
 * @param failingPercent percentage of the runs that fail
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
