package org.marjoramnotch.model.identifier;

/**
 * Identifies one attempt to run a request on an endpoint; never reused.
 *
 * @param entry the VM whose entry makes the attempt
 * @param incarnation generated anew at each start of the entry's process
 * @param sequence number of the attempt within the incarnation
 */
public record AttemptId(VmId entry, String incarnation, long sequence) {
    private static final String SEPARATOR = "/";
    private static final int PART_COUNT = 3;

    /**
     * Parses the form that {@link #text()} returns.
     *
     * @throws IllegalArgumentException if the text does not have that form
     */
    public static AttemptId parse(String text) {
        String[] parts = text.split(SEPARATOR);
        if (parts.length != PART_COUNT) {
            throw new IllegalArgumentException(
                    "An attempt must have the form entry/incarnation/number.");
        }
        return new AttemptId(new VmId(parts[0]), parts[1], Long.parseLong(parts[2]));
    }

    /** Returns the form that is sent to endpoints as a header value. */
    public String text() {
        return entry.value() + SEPARATOR + incarnation + SEPARATOR + sequence;
    }

    @Override
    public String toString() {
        return text();
    }
}
