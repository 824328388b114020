package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.message.ApplyRules;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.RulesAnswer;

/**
 * Simulated operators who concurrently change the same version of the rules; each change grants or
 * withdraws the callers' key.
 */
final class SimulatedOperators {
    static final String KEY = "kw";
    static final String DIGEST = "a".repeat(64);
    static final int LIMIT = 4;
    private static final String RULES =
            """
            team wards share 1 limit %d # ward office, change %s
            queue checks private wards policy quick service gas-check once # inspectors
            queue bundles private wards policy batch idempotent # fire office
            """;
    private static final String KEY_LINE =
            "key " + KEY + " team wards sha256 " + DIGEST + " # who\n";

    private final CellSimulation simulation;
    private final Consumer<Optional<Long>> withdrawn;
    private final Map<Long, String> acceptedTexts = new HashMap<>();
    private long version;
    private int changes;
    long accepted;
    long conflicts;

    SimulatedOperators(CellSimulation simulation, Consumer<Optional<Long>> withdrawn) {
        this.simulation = simulation;
        this.withdrawn = withdrawn;
    }

    /** Lets two operators change the rules from the same version. */
    void changeRulesConcurrently(boolean granted) {
        if (granted) {
            withdrawn.accept(Optional.empty());
        }
        change(granted);
        change(granted);
    }

    private void change(boolean granted) {
        String request = "change-" + changes++;
        String text = RULES.formatted(LIMIT, request) + (granted ? KEY_LINE : "");
        simulation.sendUntilAnswered(
                new ApplyRules(new RequestId(request), version, text),
                () -> true,
                reply -> {
                    if (reply instanceof RulesAnswer answer) {
                        onAccepted(answer, request, granted);
                    } else if (reply instanceof Refused refused) {
                        assertThat(refused.refusal().code()).isEqualTo(ErrorCode.VERSION_CONFLICT);
                        conflicts++;
                    }
                });
    }

    private void onAccepted(RulesAnswer answer, String request, boolean granted) {
        accepted++;
        assertThat(acceptedTexts.put(answer.version(), request))
                .as("change that was accepted as version %s before", answer.version())
                .isNull();
        if (answer.version() > version) {
            version = answer.version();
            withdrawn.accept(granted ? Optional.empty() : Optional.of(simulation.time));
        }
    }
}
