package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.FieldSource;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.LogPosition;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.ReplaceConfiguration;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.CallTarget;
import org.marjoramnotch.model.message.CancelWorkflowRequest;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.ReadConfiguration;
import org.marjoramnotch.model.message.ReadWorkflow;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;

class ConfigurationLogTest {
    private static final long PROPOSED = 1_700_000_000_000L;
    private static final long AGE = 431;
    private static final String ID = "0123456789abcdef";
    private static final CallTarget UNKNOWN_PATH =
            new CallTarget("callers.example", "/gone/" + ID, Optional.of(TestFleet.KEY));
    private static final CallTarget WRONG_KEY =
            new CallTarget("callers.example", "/quick/" + ID, Optional.of("other"));
    private static final FleetConfiguration INVALID =
            new FleetConfiguration(
                    9, "", TestFleet.configuration(9).queues(), List.of(), List.of());

    static final List<Arguments> DECISIONS =
            List.of(
                    Arguments.of(
                            new ReadWorkflow(UNKNOWN_PATH),
                            "call_refused",
                            Map.of(
                                    "reason", "UNKNOWN_QUEUE",
                                    "call", "ReadWorkflow",
                                    "workflow", ID,
                                    "queue", "none",
                                    "host", "callers.example",
                                    "path", "/gone/" + ID,
                                    "key", DigestUtils.sha256Hex(TestFleet.KEY).substring(0, 12))),
                    Arguments.of(
                            new SubmitWorkflowRequest(WRONG_KEY, TestFleet.draft(1, 1)),
                            "call_refused",
                            Map.of(
                                    "reason", "KEY_REFUSED",
                                    "call", "SubmitWorkflowRequest",
                                    "key", DigestUtils.sha256Hex("other").substring(0, 12))),
                    Arguments.of(
                            new CancelWorkflowRequest(
                                    CallTarget.of(new QueueName("gone"), ID, Optional.empty())),
                            "call_refused",
                            Map.of("queue", "gone", "workflow", ID, "key", "none")),
                    Arguments.of(
                            new ReadConfiguration(), "configuration_read", Map.of("version", "3")),
                    Arguments.of(
                            new ApplyConfiguration(TestFleet.configuration(2)),
                            "configuration_outdated",
                            Map.of("version", "2", "in_force", "3")),
                    Arguments.of(
                            new ApplyConfiguration(INVALID),
                            "configuration_refused",
                            Map.of("version", "9", "in_force", "3", "reason", "INVALID_RULES")));

    private final WorkflowLedger ledger = new WorkflowLedger();
    private final List<DecisionLogEntry> entries = new ArrayList<>();
    private final Map<ErrorCode, Long> refusedAges = new HashMap<>();
    private final Output output = new Output();
    private final WorkflowDuty duty =
            new WorkflowDuty(
                    WorkflowSettings.defaults(),
                    ledger,
                    () -> PROPOSED + AGE,
                    1,
                    0,
                    refusedAges::put);

    @BeforeEach
    void apply() {
        ReplaceConfiguration change =
                new ReplaceConfiguration(TestFleet.configuration(3), PROPOSED);
        duty.onApplied(0, change, ledger.apply(change), output);
    }

    @ParameterizedTest
    @FieldSource("DECISIONS")
    void decisionTellsVersionAgeAndPosition(
            CellRequest request, String event, Map<String, String> expected) {
        entries.clear();
        duty.onRequest(0, new RequestHandle("link", 1), request, output);

        assertThat(entries).extracting(DecisionLogEntry::event).containsExactly(event);
        assertThat(fields())
                .containsAllEntriesOf(expected)
                .containsEntry("age_ms", Long.toString(AGE))
                .containsEntry("term", "4")
                .containsEntry("index", "70")
                .containsValue("3");
    }

    @Test
    void appliedVersionIsLoggedWithItsPosition() {
        assertThat(entries).extracting(DecisionLogEntry::event).contains("configuration_in_force");
        assertThat(fields()).containsEntry("version", "3").containsEntry("index", "70");
    }

    @Test
    void refusalIsMeasuredWithTheAgeOfTheVersionAlsoAfterSnapshot() {
        WorkflowLedger restored = new WorkflowLedger();
        restored.restore(ledger.snapshot());
        assertThat(restored.configurationProposedEpochMilliseconds()).hasValue(PROPOSED);

        duty.onRequest(0, new RequestHandle("link", 1), new ReadWorkflow(WRONG_KEY), output);
        assertThat(refusedAges).containsExactly(Map.entry(ErrorCode.KEY_REFUSED, AGE));
    }

    private Map<String, String> fields() {
        Map<String, String> named = new HashMap<>();
        List<Object> fields = entries.get(entries.size() - 1).fields();
        for (int field = 0; field < fields.size(); field += 2) {
            named.put(fields.get(field).toString(), fields.get(field + 1).toString());
        }
        return named;
    }

    private final class Output implements LeaderOutput {
        @Override
        public void propose(Command command) {}

        @Override
        public void reply(RequestHandle handle, CellReply reply) {}

        @Override
        public LogPosition position() {
            return new LogPosition(4, 70);
        }

        @Override
        public void logDecision(DecisionLogEntry logEntry) {
            entries.add(logEntry);
        }
    }
}
