package org.marjoramnotch.logic.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.ChangeConfiguration;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.message.ApplyRules;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.ReadRules;
import org.marjoramnotch.model.message.ReadStatus;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.RulesAnswer;

class ConfigurationDutyTest {
    private static final String ONE = "team w share 1 limit 2 # Aiko\n";
    private static final String TWO = "team w share 1 limit 3 # Aiko\n";

    private final ConfigurationState state = new ConfigurationState();
    private final Output output = new Output();
    private ConfigurationDuty duty = new ConfigurationDuty(state);
    private long handles;

    @Test
    void acceptedRulesAreAnsweredOnlyAfterCommit() {
        long handle = apply("a", 0, "  team w share 1   limit 2 #Aiko");
        assertThat(output.replies).isEmpty();

        commit();

        assertThat(output.replies).containsOnly(Map.entry(handle, new RulesAnswer(1, ONE)));
        assertThat(read()).isEqualTo(new RulesAnswer(1, ONE));
    }

    @Test
    void onlyOneOfTwoChangesToTheSameVersionIsAccepted() {
        long first = apply("a", 0, ONE);
        long second = apply("b", 0, TWO);
        commit();

        assertThat(output.replies.get(first)).isEqualTo(new RulesAnswer(1, ONE));
        assertThat(code(second)).isEqualTo(ErrorCode.VERSION_CONFLICT);
        assertThat(read()).isEqualTo(new RulesAnswer(1, ONE));
    }

    @Test
    void resendInFlightWaitsForTheFirstAnswer() {
        long first = apply("a", 0, ONE);
        long resend = apply("a", 0, ONE);
        long reused = apply("a", 0, TWO);
        commit();

        assertThat(output.replies.get(first)).isEqualTo(new RulesAnswer(1, ONE));
        assertThat(output.replies.get(resend)).isEqualTo(new RulesAnswer(1, ONE));
        assertThat(code(reused)).isEqualTo(ErrorCode.REQUEST_ID_REUSED);
        assertThat(state.version()).isEqualTo(1);
    }

    @Test
    void resendAfterLaterChangesAndNewTermGetsTheFirstAnswer() {
        apply("a", 0, ONE);
        commit();
        apply("b", 1, TWO);
        commit();
        duty = new ConfigurationDuty(ConfigurationState.restore(state.snapshot()));

        long resend = apply("a", 0, ONE);
        long reused = apply("a", 1, ONE);

        assertThat(output.proposed).isEmpty();
        assertThat(output.replies.get(resend)).isEqualTo(new RulesAnswer(1, ONE));
        assertThat(code(reused)).isEqualTo(ErrorCode.REQUEST_ID_REUSED);
    }

    @Test
    void sameChangeProposedByTwoLeadersTakesEffectOnce() {
        apply("a", 0, ONE);
        duty = new ConfigurationDuty(state);
        long resend = apply("a", 0, ONE);
        assertThat(output.proposed).hasSize(2);

        commit();

        assertThat(output.replies.get(resend)).isEqualTo(new RulesAnswer(1, ONE));
        assertThat(state.version()).isEqualTo(1);
    }

    @Test
    void conflictAndInvalidRulesAreRefusedWithoutProposal() {
        long conflict = apply("a", 7, ONE);
        long invalid = apply("b", 0, "team w\n");
        long foreign = ++handles;
        duty.onRequest(0, handle(foreign), new ReadStatus(), output);

        assertThat(code(conflict)).isEqualTo(ErrorCode.VERSION_CONFLICT);
        assertThat(code(invalid)).isEqualTo(ErrorCode.INVALID_RULES);
        assertThat(code(foreign)).isEqualTo(ErrorCode.INVALID_REQUEST);
        assertThat(output.proposed).isEmpty();
    }

    @Test
    void changesBeyondTheLimitAreRefusedAsOverloaded() {
        for (int change = 0; change < 256; change++) {
            apply("request-" + change, 0, ONE);
        }

        assertThat(code(apply("one-more", 0, ONE))).isEqualTo(ErrorCode.OVERLOADED);
    }

    private long apply(String request, long version, String text) {
        handles++;
        ApplyRules rules = new ApplyRules(new RequestId(request), version, text);
        duty.onRequest(0, handle(handles), rules, output);
        return handles;
    }

    private CellReply read() {
        handles++;
        duty.onRequest(0, handle(handles), new ReadRules(), output);
        return output.replies.get(handles);
    }

    private ErrorCode code(long handle) {
        return ((Refused) output.replies.get(handle)).refusal().code();
    }

    private void commit() {
        while (!output.proposed.isEmpty()) {
            ChangeConfiguration change = (ChangeConfiguration) output.proposed.remove();
            duty.onApplied(0, change, state.apply(change), output);
        }
    }

    private static RequestHandle handle(long correlation) {
        return new RequestHandle("link", correlation);
    }

    private static final class Output implements LeaderOutput {
        private final Queue<Command> proposed = new ArrayDeque<>();
        private final Map<Long, CellReply> replies = new LinkedHashMap<>();

        @Override
        public void propose(Command command) {
            proposed.add(command);
        }

        @Override
        public void reply(RequestHandle handle, CellReply reply) {
            assertThat(replies.put(handle.correlation(), reply)).as("second reply").isNull();
        }
    }
}
