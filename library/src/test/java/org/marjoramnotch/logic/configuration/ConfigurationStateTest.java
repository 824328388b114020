package org.marjoramnotch.logic.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.command.ChangeConfiguration;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.CommandResult.ConfigurationAccepted;
import org.marjoramnotch.model.command.CommandResult.Rejected;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.rule.RuleKind;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.model.rule.RuleSubject;

class ConfigurationStateTest {
    private static final String TEAM = "team w share 1 limit 2 # x\n";
    private static final String KEYED = "queue q private w policy batch once # x\n";

    private final ConfigurationState state = new ConfigurationState();

    @Test
    void acceptedChangeRaisesVersionAndResendGetsFirstAnswer() {
        ChangeConfiguration first = put("a", 0, TEAM);
        assertThat(state.apply(first)).isEqualTo(new ConfigurationAccepted(1));
        assertThat(state.apply(put("b", 1, TEAM + KEYED))).isEqualTo(new ConfigurationAccepted(2));

        assertThat(state.apply(first)).isEqualTo(new ConfigurationAccepted(1));

        assertThat(state.version()).isEqualTo(2);
        assertThat(state.text()).isEqualTo(TEAM + KEYED);
    }

    @ParameterizedTest
    @CsvSource({
        "a, 0, team v, REQUEST_ID_REUSED, new request identifier",
        "b, 0, team v, VERSION_CONFLICT, at version 1",
        "b, 2, team v, VERSION_CONFLICT, based on version 2",
        "b, 1, team w, INVALID_RULES, 1 keys or queues still name it",
    })
    void refusedChangeLeavesRulesUnchanged(
            String request, long version, String removed, ErrorCode code, String remedy) {
        state.apply(put("a", 0, TEAM + KEYED));
        ConfigurationSnapshot before = state.snapshot();

        CommandResult result =
                state.apply(
                        new ChangeConfiguration(
                                new RequestId(request),
                                version,
                                List.of(new RuleSubject(RuleKind.TEAM, removed.substring(5))),
                                List.of()));

        assertThat(result)
                .isInstanceOfSatisfying(
                        Rejected.class,
                        rejected -> {
                            assertThat(rejected.refusal().code()).isEqualTo(code);
                            assertThat(rejected.refusal().message()).contains(remedy);
                        });
        assertThat(state.snapshot()).isEqualTo(before);
    }

    @Test
    void ruleOfMissingTeamIsRefused() {
        RuleLine queue = RuleParser.parse(TEAM + KEYED).get(1);

        assertThat(
                        state.apply(
                                new ChangeConfiguration(
                                        new RequestId("a"), 0, List.of(), List.of(queue))))
                .isInstanceOfSatisfying(
                        Rejected.class,
                        rejected ->
                                assertThat(rejected.refusal().message())
                                        .contains("queue 'q': no rule creates team 'w'"));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void hundredsOfChangesAndRestoresGiveTheRequestedRules(long seed)
            throws JsonProcessingException {
        ObjectMapper mapper = JsonMapper.builder().addModule(new Jdk8Module()).build();
        RandomRuleGenerator random = new RandomRuleGenerator(seed);
        ConfigurationState current = state;
        for (int change = 0; change < 500; change++) {
            List<RuleLine> requested = random.nextRules();
            ConfigurationDifference difference =
                    ConfigurationDifference.between(current, requested);
            ChangeConfiguration command =
                    new ChangeConfiguration(
                            new RequestId("request-" + change),
                            change,
                            difference.removed(),
                            difference.put());
            assertThat(current.apply(command)).isEqualTo(new ConfigurationAccepted(change + 1));
            assertThat(current.text()).isEqualTo(RuleFormatter.format(requested));
            if (change % 50 == 0) {
                String json = mapper.writeValueAsString(current.snapshot());
                ConfigurationSnapshot snapshot =
                        mapper.readValue(json, ConfigurationSnapshot.class);
                assertThat(snapshot).isEqualTo(current.snapshot());
                current = ConfigurationState.restore(snapshot);
                assertThat(current.apply(command)).isEqualTo(new ConfigurationAccepted(change + 1));
            }
        }
        assertThat(current.version()).isEqualTo(500);
    }

    @Test
    void oldestRequestIsDiscardedAndItsResendChangesNothing() {
        for (int change = 0; change <= AcceptedRequestHistory.CAPACITY; change++) {
            state.apply(put("request-" + change, change, TEAM));
        }

        assertThat(state.snapshot().requests()).hasSize(AcceptedRequestHistory.CAPACITY);
        assertThat(state.apply(put("request-1", 1, TEAM))).isEqualTo(new ConfigurationAccepted(2));
        assertThat(state.apply(put("request-0", 0, TEAM))).isInstanceOf(Rejected.class);
    }

    private static ChangeConfiguration put(String request, long version, String text) {
        return new ChangeConfiguration(
                new RequestId(request), version, List.of(), RuleParser.parse(text));
    }
}
