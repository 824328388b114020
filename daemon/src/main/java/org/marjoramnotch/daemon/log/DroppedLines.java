package org.marjoramnotch.daemon.log;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Counts dropped log lines by event. The number of events that are told apart is bounded. */
final class DroppedLines {
    private static final int MAXIMUM_EVENTS = 60;
    private static final String OTHERS = "others";

    private final Map<String, Long> linesByEvent = new TreeMap<>();
    private long lines;

    void add(String event) {
        boolean told = linesByEvent.containsKey(event) || linesByEvent.size() < MAXIMUM_EVENTS;
        linesByEvent.merge(told ? event : OTHERS, 1L, Long::sum);
        lines++;
    }

    boolean isEmpty() {
        return lines == 0;
    }

    long count() {
        return lines;
    }

    Map<String, Long> byEvent() {
        return Map.copyOf(linesByEvent);
    }

    void clear() {
        linesByEvent.clear();
        lines = 0;
    }

    @Override
    public String toString() {
        return linesByEvent.entrySet().stream()
                .map(event -> event.getKey() + ":" + event.getValue())
                .collect(Collectors.joining(" "));
    }
}
