package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.fleet.AdviceTiming;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.message.AdviceAnswer;
import org.marjoramnotch.model.message.AdviceQuestion;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.TakeAdviceQuestion;
import org.marjoramnotch.model.workflow.StepId;

class AdviceBrokerTest {
    private static final AdviceTiming TIMING = new AdviceTiming(30, 0.5, 2_500);
    private static final QueueDefinition QUEUE =
            TestFleet.queue("quick", "/quick/", 0, false, Optional.of(TIMING));
    private static final StepId STEP = new StepId(new JobId("0123456789abcdef"), 0, 0);
    private static final WorkerId ONE = new WorkerId("w-1");
    private static final WorkerId TWO = new WorkerId("w-2");

    private AdviceBroker broker = new AdviceBroker(1);
    private final Map<RequestHandle, CellReply> replies = new LinkedHashMap<>();
    private final LeaderOutput output =
            new LeaderOutput() {
                @Override
                public void propose(Command command) {
                    throw new AssertionError("the broker must not propose commands");
                }

                @Override
                public void reply(RequestHandle handle, CellReply reply) {
                    replies.put(handle, reply);
                }
            };

    private void poll(long now, long number, Optional<AdviceAnswer> answer) {
        broker.onPoll(
                now,
                new RequestHandle("vm", number),
                new TakeAdviceQuestion(new VmId("vm"), answer, 2_000),
                output);
    }

    private AdviceQuestion questionTo(long number) {
        return (AdviceQuestion) replies.get(new RequestHandle("vm", number));
    }

    @Test
    void ticketsExpire() {
        poll(0, 1, Optional.empty());
        broker.enqueueQuestions(0, STEP, List.of(ONE, TWO), QUEUE, 0, output);
        AdviceAnswer answer =
                new AdviceAnswer(questionTo(1).question(), Optional.of(Map.of(TWO, "t")), 2_500);
        poll(100, 2, Optional.of(answer));

        assertThat(broker.tickets(STEP, 2_000)).isEqualTo(Map.of(TWO, "t"));
        assertThat(broker.tickets(STEP, 2_500)).isEmpty();
        assertThat(broker.eligible(STEP).test(ONE)).isFalse();
        assertThat(broker.eligible(STEP).test(TWO)).isTrue();
    }

    @Test
    void deniedWorkersAreNotNamedAgain() {
        ticketsExpire();
        broker.enqueueQuestions(3_000, STEP, List.of(ONE, TWO), QUEUE, 0, output);
        assertThat(questionTo(2).workers()).containsExactly(TWO);
    }

    @Test
    void restartedWorkerIsNamedAgainAfterDenial() {
        ticketsExpire();
        broker.onEnrolled(new WorkerIncarnation(ONE, 5));
        broker.enqueueQuestions(3_000, STEP, List.of(ONE, TWO), QUEUE, 0, output);
        assertThat(questionTo(2).workers()).containsExactly(ONE, TWO);
    }

    @Test
    void answerAboutEarlierIncarnationDoesNotApplyToNewOne() {
        poll(0, 1, Optional.empty());
        broker.enqueueQuestions(0, STEP, List.of(ONE, TWO), QUEUE, 0, output);
        broker.onEnrolled(new WorkerIncarnation(ONE, 5));
        AdviceAnswer answer =
                new AdviceAnswer(questionTo(1).question(), Optional.of(Map.of()), 2_500);
        poll(100, 2, Optional.of(answer));

        assertThat(broker.eligible(STEP).test(ONE)).isTrue();
        assertThat(broker.eligible(STEP).test(TWO)).isFalse();
    }

    @Test
    void mostUrgentQuestionIsAskedFirst() {
        StepId urgent = new StepId(new JobId("fedcba9876543210"), 0, 0);
        broker.enqueueQuestions(0, STEP, List.of(ONE), QUEUE, 500, output);
        broker.enqueueQuestions(0, urgent, List.of(ONE), QUEUE, 100, output);
        poll(0, 1, Optional.empty());
        assertThat(questionTo(1).step()).isEqualTo(urgent);
    }

    @Test
    void unansweredQuestionIsAskedByAnotherDaemon() {
        poll(0, 1, Optional.empty());
        broker.enqueueQuestions(0, STEP, List.of(ONE), QUEUE, 0, output);
        poll(100, 2, Optional.empty());
        broker.tick(1_500, output);
        assertThat(questionTo(2).step()).isEqualTo(STEP);
    }

    @Test
    void refusedQuestionIsAskedAgain() {
        poll(0, 1, Optional.empty());
        broker.enqueueQuestions(0, STEP, List.of(ONE), QUEUE, 0, output);
        AdviceAnswer refused = new AdviceAnswer(questionTo(1).question(), Optional.empty(), 0);
        poll(50, 2, Optional.of(refused));
        assertThat(questionTo(2).step()).isEqualTo(STEP);
    }

    @Test
    void answerToQuestionOfEarlierLeaderIsIgnored() {
        poll(0, 1, Optional.empty());
        broker.enqueueQuestions(0, STEP, List.of(ONE), QUEUE, 0, output);
        AdviceAnswer former =
                new AdviceAnswer(questionTo(1).question(), Optional.of(Map.of(ONE, "t")), 2_500);
        broker = new AdviceBroker(2);
        StepId other = new StepId(new JobId("fedcba9876543210"), 0, 0);
        poll(50, 2, Optional.empty());
        broker.enqueueQuestions(50, other, List.of(ONE), QUEUE, 0, output);
        poll(60, 3, Optional.of(former));

        assertThat(broker.tickets(other, 60)).isEmpty();
    }

    @Test
    void ticketsOfDelayedAnswerExpireEarlier() {
        poll(0, 1, Optional.empty());
        broker.enqueueQuestions(0, STEP, List.of(ONE), QUEUE, 0, output);
        AdviceAnswer late =
                new AdviceAnswer(questionTo(1).question(), Optional.of(Map.of(ONE, "t")), 2_500);
        poll(900, 2, Optional.of(late));

        // The earliest decision time is 30 ms; tickets are valid for 2500 ms less the margin of 150
        // ms.
        assertThat(broker.tickets(STEP, 2_379)).isNotEmpty();
        assertThat(broker.tickets(STEP, 2_380)).isEmpty();
    }

    @Test
    void pollIsAnsweredWhenItsWaitEnds() {
        poll(0, 1, Optional.empty());
        broker.tick(2_000, output);
        assertThat(replies.get(new RequestHandle("vm", 1))).isEqualTo(new Done());
    }

    @Test
    void refusingAdvisorIsAskedWithBackoff() {
        poll(0, 1, Optional.empty());
        int asked = 0;
        for (long now = 0; now < 5_000; now += 10) {
            broker.enqueueQuestions(now, STEP, List.of(ONE), QUEUE, 0, output);
            long number = now / 10 + 1;
            if (replies.get(new RequestHandle("vm", number)) instanceof AdviceQuestion question) {
                asked++;
                poll(
                        now,
                        number + 1,
                        Optional.of(new AdviceAnswer(question.question(), Optional.empty(), 0)));
            } else {
                poll(now, number + 1, Optional.empty());
            }
        }
        assertThat(asked).isBetween(3, 10);
    }

    @Test
    void answerAfterTimeoutOfItsQuestionIsAccepted() {
        poll(0, 1, Optional.empty());
        broker.enqueueQuestions(0, STEP, List.of(ONE), QUEUE, 0, output);
        broker.tick(1_200, output);
        AdviceAnswer late =
                new AdviceAnswer(questionTo(1).question(), Optional.of(Map.of(ONE, "t")), 2_500);
        poll(1_300, 2, Optional.of(late));

        assertThat(broker.tickets(STEP, 1_300)).isEqualTo(Map.of(ONE, "t"));
    }

    @Test
    void ticketsOfEarlierAnswersRemainValid() {
        poll(0, 1, Optional.empty());
        broker.enqueueQuestions(0, STEP, List.of(ONE), QUEUE, 0, output);
        poll(
                50,
                2,
                Optional.of(
                        new AdviceAnswer(
                                questionTo(1).question(), Optional.of(Map.of(ONE, "t")), 2_500)));
        broker.enqueueQuestions(60, STEP, List.of(TWO), QUEUE, 0, output);
        poll(
                120,
                3,
                Optional.of(
                        new AdviceAnswer(
                                questionTo(2).question(), Optional.of(Map.of(TWO, "u")), 2_500)));

        assertThat(broker.tickets(STEP, 200)).isEqualTo(Map.of(ONE, "t", TWO, "u"));
    }

    @Test
    void daemonThatReportedRefusalIsNotAskedNext() {
        poll(0, 1, Optional.empty());
        poll(0, 2, Optional.empty());
        broker.enqueueQuestions(0, STEP, List.of(ONE), QUEUE, 0, output);
        AdviceAnswer refused = new AdviceAnswer(questionTo(2).question(), Optional.empty(), 0);
        poll(50, 3, Optional.of(refused));

        assertThat(questionTo(1).step()).isEqualTo(STEP);
        assertThat(replies).doesNotContainKey(new RequestHandle("vm", 3));
    }
}
