package org.marjoramnotch.model.identifier;

/**
 * Names one attempt to run a request on an endpoint; never used twice.
 *
 * @param entry the VM whose entry makes the attempt
 * @param incarnation drawn anew each time that the entry's process starts
 * @param sequence counts the attempts of one incarnation
 */
public record AttemptId(VmId entry, String incarnation, long sequence) {
    private static final String SEPARATOR = "/";
    private static final int PART_COUNT = 3;

    /** Reads the form that {@link #text()} writes. */
    public static AttemptId parse(String text) {
        String[] parts = text.split(SEPARATOR);
        if (parts.length != PART_COUNT) {
            throw new IllegalArgumentException(
                    "An attempt is written as entry/incarnation/number.");
        }
        return new AttemptId(new VmId(parts[0]), parts[1], Long.parseLong(parts[2]));
    }

    /** Returns the form sent to endpoints, as one header value. */
    public String text() {
        return entry.value() + SEPARATOR + incarnation + SEPARATOR + sequence;
    }

    @Override
    public String toString() {
        return text();
    }
}
