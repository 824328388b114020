package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.marjoramnotch.logic.leader.DecisionLogEntry;

/** Reads the fields of logged decisions as text. */
final class DecisionFields {
    private DecisionFields() {}

    /** Returns the fields of each decision of an event. */
    static List<Map<String, String>> of(List<DecisionLogEntry> decisions, String event) {
        return decisions.stream()
                .filter(decision -> decision.event().equals(event))
                .map(DecisionFields::of)
                .toList();
    }

    /** Returns the fields of the only decision of an event. */
    static Map<String, String> only(List<DecisionLogEntry> decisions, String event) {
        List<Map<String, String>> found = of(decisions, event);
        assertThat(found).as(event).hasSize(1);
        return found.get(0);
    }

    private static Map<String, String> of(DecisionLogEntry decision) {
        Map<String, String> fields = new LinkedHashMap<>();
        for (int field = 0; field + 1 < decision.fields().size(); field += 2) {
            fields.put(
                    String.valueOf(decision.fields().get(field)),
                    String.valueOf(decision.fields().get(field + 1)));
        }
        return fields;
    }
}
