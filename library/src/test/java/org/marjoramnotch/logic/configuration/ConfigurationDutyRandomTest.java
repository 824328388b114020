package org.marjoramnotch.logic.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.ChangeConfiguration;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.message.ApplyRules;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.RulesAnswer;

/**
 * Sends concurrent changes, resends and reused request identifiers while the leader and the replica
 * change.
 */
class ConfigurationDutyRandomTest {
    private static final int STEPS = 2_000;
    private static final int RECENT_REQUESTS = 8;

    private final Deque<Command> proposed = new ArrayDeque<>();
    private final Map<Long, ApplyRules> sent = new HashMap<>();
    private final List<ApplyRules> requests = new ArrayList<>();
    private final Map<ApplyRules, Long> acceptedAt = new HashMap<>();
    private final Map<Long, String> textOfVersion = new HashMap<>();
    private ConfigurationState state = new ConfigurationState();
    private ConfigurationDuty duty = new ConfigurationDuty(state);
    private long handles;

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void acceptedChangesPersistAndEveryResendGetsTheFirstAnswer(long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        RandomRuleGenerator rules = new RandomRuleGenerator(seed);
        for (int step = 0; step < STEPS; step++) {
            switch (random.nextInt(12)) {
                case 0, 1, 2, 3 -> send(newRequest(random, rules));
                case 4, 5 -> resend(random);
                case 6 -> reuse(random);
                case 7 -> changeLeader(random);
                default -> commitNext();
            }
            assertThat(state.version()).isEqualTo(textOfVersion.size());
        }
        assertThat(state.version()).isGreaterThan(STEPS / 20);
        assertThat(acceptedAt.values()).doesNotHaveDuplicates();
    }

    private ApplyRules newRequest(UniformRandomProvider random, RandomRuleGenerator rules) {
        long staleness = random.nextInt(4) == 0 ? 1 : 0;
        long version = Math.max(0, state.version() - staleness);
        RequestId id = new RequestId("request-" + requests.size());
        ApplyRules request = new ApplyRules(id, version, RuleFormatter.format(rules.nextRules()));
        requests.add(request);
        return request;
    }

    private void resend(UniformRandomProvider random) {
        if (!requests.isEmpty()) {
            send(recentRequest(random));
        }
    }

    private void reuse(UniformRandomProvider random) {
        if (!requests.isEmpty()) {
            ApplyRules original = recentRequest(random);
            send(
                    new ApplyRules(
                            original.request(),
                            original.expectedVersion(),
                            original.text() + "\n"));
        }
    }

    private ApplyRules recentRequest(UniformRandomProvider random) {
        int back = 1 + random.nextInt(Math.min(RECENT_REQUESTS, requests.size()));
        return requests.get(requests.size() - back);
    }

    private void send(ApplyRules request) {
        handles++;
        sent.put(handles, request);
        duty.onRequest(0, new RequestHandle("link", handles), request, output());
    }

    /**
     * Loses a random number of the last proposals, as a replicated log may, and commits the rest;
     * the new leader starts from a snapshot.
     */
    private void changeLeader(UniformRandomProvider random) {
        int lost = random.nextInt(proposed.size() + 1);
        for (int count = 0; count < lost; count++) {
            proposed.removeLast();
        }
        duty = new ConfigurationDuty(state);
        while (!proposed.isEmpty()) {
            commitNext();
        }
        state = ConfigurationState.restore(state.snapshot());
        duty = new ConfigurationDuty(state);
        sent.clear();
    }

    private void commitNext() {
        if (proposed.isEmpty()) {
            return;
        }
        ChangeConfiguration change = (ChangeConfiguration) proposed.removeFirst();
        long before = state.version();
        var result = state.apply(change);
        if (state.version() > before) {
            textOfVersion.put(state.version(), state.text());
        }
        duty.onApplied(0, change, result, output());
    }

    private LeaderOutput output() {
        return new LeaderOutput() {
            @Override
            public void propose(Command command) {
                proposed.addLast(command);
            }

            @Override
            public void reply(RequestHandle handle, CellReply reply) {
                check(sent.remove(handle.correlation()), reply);
            }
        };
    }

    private void check(ApplyRules request, CellReply reply) {
        assertThat(request).as("reply to a request that expects none").isNotNull();
        if (reply instanceof RulesAnswer answer) {
            assertThat(answer.text()).isEqualTo(textOfVersion.get(answer.version()));
            assertThat(acceptedAt.merge(request, answer.version(), (first, again) -> first))
                    .isEqualTo(answer.version());
        } else {
            assertThat(acceptedAt).as("refused after it was accepted").doesNotContainKey(request);
            assertThat(((Refused) reply).refusal().code())
                    .isIn(ErrorCode.VERSION_CONFLICT, ErrorCode.REQUEST_ID_REUSED);
        }
    }
}
