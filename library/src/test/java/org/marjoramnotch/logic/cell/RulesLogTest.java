package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.assertj.core.api.InstanceOfAssertFactories;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.FieldSource;
import org.marjoramnotch.logic.configuration.KeyFingerprint;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.ApplyRules;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.Credential;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.message.ReadRules;

class RulesLogTest {
    private static final RequestHandle HANDLE = new RequestHandle("link", 1);
    private static final String RULES =
            """
            team w share 1 limit 2 # Aiko
            queue q keyed policy quick service s idempotent # Aiko
            """;

    static final List<Arguments> DECISIONS =
            List.of(
                    Arguments.of(new ReadRules(), "rules_read", List.of("version", 1L, "term", 1L)),
                    Arguments.of(
                            new ApplyRules(new RequestId("b"), 7, RULES),
                            "rules_refused",
                            List.of(
                                    "reason",
                                    ErrorCode.VERSION_CONFLICT,
                                    "request",
                                    new RequestId("b"),
                                    "expected_version",
                                    7L,
                                    "in_force",
                                    1L,
                                    "term",
                                    1L)),
                    Arguments.of(place("gone"), "call_refused", refused("UNKNOWN_QUEUE", "gone")),
                    Arguments.of(place("q"), "call_refused", refused("KEY_REFUSED", "q")));

    private final ScriptedLog log = new ScriptedLog();
    private final CellCore core = log.newCore();

    @BeforeEach
    void applyRules() {
        core.tick(0);
        core.request(1, HANDLE, new ApplyRules(new RequestId("a"), 0, RULES));
        log.commitAll();
        core.tick(2);
        assertThat(core.takeEffects(2).decisionLog())
                .filteredOn(entry -> entry.event().equals("rules_in_force"))
                .singleElement()
                .extracting(DecisionLogEntry::fields)
                .asInstanceOf(InstanceOfAssertFactories.LIST)
                .startsWith("version", 1L, "in_force", 1L, "request", new RequestId("a"));
    }

    @ParameterizedTest
    @FieldSource("DECISIONS")
    void decisionTellsVersionAndPosition(CellRequest request, String event, List<Object> fields) {
        core.request(3, HANDLE, request);

        List<DecisionLogEntry> entries = core.takeEffects(3).decisionLog();
        assertThat(entries).extracting(DecisionLogEntry::event).containsExactly(event);
        assertThat(entries.get(0).fields())
                .filteredOn(field -> !(field instanceof KeyFingerprint))
                .startsWith(fields.toArray())
                .contains("index");
    }

    @Test
    void answerThatIsNotConfirmedIsToldAsWithheld() {
        log.confirmedMark = 0;
        core.request(3, HANDLE, new ReadRules());
        log.ready = false;
        core.tick(4);

        assertThat(core.takeEffects(4).decisionLog())
                .contains(
                        DecisionLogEntry.of(
                                "answers_withheld", "answers", 1, "term", 1L, "index", 0L));
    }

    private static List<Object> refused(String reason, String queue) {
        return List.of(
                "reason",
                ErrorCode.valueOf(reason),
                "call",
                "PlaceRequest",
                "target",
                new QueueName(queue),
                "key",
                "rules_version",
                1L);
    }

    private static PlaceRequest place(String queue) {
        return new PlaceRequest(
                new AttemptId(new VmId("vm-1"), "i", 1),
                Optional.of(new Credential(new KeyId("kw-1"), "0".repeat(64))),
                new QueueName(queue),
                SlotKind.REQUEST,
                false,
                1_000,
                new AvailabilityZone("zone"),
                Optional.empty(),
                List.of());
    }
}
