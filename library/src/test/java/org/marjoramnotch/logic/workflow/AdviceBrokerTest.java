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
    private static final AdviceTiming TERMS = new AdviceTiming(30, 0.5, 2_500);
    private static final QueueDefinition QUEUE =
            TestFleet.queue("quick", "/quick/", 0, false, Optional.of(TERMS));
    private static final StepId STEP = new StepId(new JobId("0123456789abcdef"), 0, 0);
    private static final WorkerId ONE = new WorkerId("w-1");
    private static final WorkerId TWO = new WorkerId("w-2");

    private AdviceBroker desk = new AdviceBroker(1);
    private final Map<RequestHandle, CellReply> replies = new LinkedHashMap<>();
    private final LeaderOutput output =
            new LeaderOutput() {
                @Override
                public void propose(Command command) {
                    throw new AssertionError("advice changes no state");
                }

                @Override
                public void reply(RequestHandle handle, CellReply reply) {
                    replies.put(handle, reply);
                }
            };

    private void offer(long now, long number, Optional<AdviceAnswer> answer) {
        desk.onOffer(
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
        offer(0, 1, Optional.empty());
        desk.enqueueQuestions(0, STEP, List.of(ONE, TWO), QUEUE, 0, output);
        AdviceAnswer answer =
                new AdviceAnswer(questionTo(1).question(), Optional.of(Map.of(TWO, "t")), 2_500);
        offer(100, 2, Optional.of(answer));

        assertThat(desk.tickets(STEP, 2_000)).isEqualTo(Map.of(TWO, "t"));
        assertThat(desk.tickets(STEP, 2_500)).isEmpty();
        assertThat(desk.eligible(STEP).test(ONE)).isFalse();
        assertThat(desk.eligible(STEP).test(TWO)).isTrue();
    }

    @Test
    void workersThatWereDeniedAreNotNamedAgain() {
        ticketsExpire();
        desk.enqueueQuestions(3_000, STEP, List.of(ONE, TWO), QUEUE, 0, output);
        assertThat(questionTo(2).workers()).containsExactly(TWO);
    }

    @Test
    void workerInNewLifeIsNamedAgainThoughItWasDeniedBefore() {
        ticketsExpire();
        desk.onEnrolled(new WorkerIncarnation(ONE, 5));
        desk.enqueueQuestions(3_000, STEP, List.of(ONE, TWO), QUEUE, 0, output);
        assertThat(questionTo(2).workers()).containsExactly(ONE, TWO);
    }

    @Test
    void answerAboutEarlierLifeOfWorkerDeniesNothingToTheNewOne() {
        offer(0, 1, Optional.empty());
        desk.enqueueQuestions(0, STEP, List.of(ONE, TWO), QUEUE, 0, output);
        desk.onEnrolled(new WorkerIncarnation(ONE, 5));
        AdviceAnswer answer =
                new AdviceAnswer(questionTo(1).question(), Optional.of(Map.of()), 2_500);
        offer(100, 2, Optional.of(answer));

        assertThat(desk.eligible(STEP).test(ONE)).isTrue();
        assertThat(desk.eligible(STEP).test(TWO)).isFalse();
    }

    @Test
    void mostUrgentQuestionIsAskedFirst() {
        StepId urgent = new StepId(new JobId("fedcba9876543210"), 0, 0);
        desk.enqueueQuestions(0, STEP, List.of(ONE), QUEUE, 500, output);
        desk.enqueueQuestions(0, urgent, List.of(ONE), QUEUE, 100, output);
        offer(0, 1, Optional.empty());
        assertThat(questionTo(1).step()).isEqualTo(urgent);
    }

    @Test
    void questionWithoutAnswerIsAskedByAnother() {
        offer(0, 1, Optional.empty());
        desk.enqueueQuestions(0, STEP, List.of(ONE), QUEUE, 0, output);
        offer(100, 2, Optional.empty());
        desk.tick(1_500, output);
        assertThat(questionTo(2).step()).isEqualTo(STEP);
    }

    @Test
    void questionThatTheAdvisorRefusedIsAskedAgain() {
        offer(0, 1, Optional.empty());
        desk.enqueueQuestions(0, STEP, List.of(ONE), QUEUE, 0, output);
        AdviceAnswer refused = new AdviceAnswer(questionTo(1).question(), Optional.empty(), 0);
        offer(50, 2, Optional.of(refused));
        assertThat(questionTo(2).step()).isEqualTo(STEP);
    }

    @Test
    void answerToQuestionOfEarlierLeaderIsNotTaken() {
        offer(0, 1, Optional.empty());
        desk.enqueueQuestions(0, STEP, List.of(ONE), QUEUE, 0, output);
        AdviceAnswer former =
                new AdviceAnswer(questionTo(1).question(), Optional.of(Map.of(ONE, "t")), 2_500);
        desk = new AdviceBroker(2);
        StepId other = new StepId(new JobId("fedcba9876543210"), 0, 0);
        offer(50, 2, Optional.empty());
        desk.enqueueQuestions(50, other, List.of(ONE), QUEUE, 0, output);
        offer(60, 3, Optional.of(former));

        assertThat(desk.tickets(other, 60)).isEmpty();
    }

    @Test
    void ticketsOfAnswerThatWasLongOnItsWayExpireEarlier() {
        offer(0, 1, Optional.empty());
        desk.enqueueQuestions(0, STEP, List.of(ONE), QUEUE, 0, output);
        AdviceAnswer late =
                new AdviceAnswer(questionTo(1).question(), Optional.of(Map.of(ONE, "t")), 2_500);
        offer(900, 2, Optional.of(late));

        // Decided at 30 ms at the earliest, valid for 2500 ms, less the margin of 150 ms.
        assertThat(desk.tickets(STEP, 2_379)).isNotEmpty();
        assertThat(desk.tickets(STEP, 2_380)).isEmpty();
    }

    @Test
    void offerIsGivenBackAfterItsWait() {
        offer(0, 1, Optional.empty());
        desk.tick(2_000, output);
        assertThat(replies.get(new RequestHandle("vm", 1))).isEqualTo(new Done());
    }

    @Test
    void advisorThatRefusesIsNotAskedWithoutPause() {
        offer(0, 1, Optional.empty());
        int asked = 0;
        for (long now = 0; now < 5_000; now += 10) {
            desk.enqueueQuestions(now, STEP, List.of(ONE), QUEUE, 0, output);
            long number = now / 10 + 1;
            if (replies.get(new RequestHandle("vm", number)) instanceof AdviceQuestion question) {
                asked++;
                offer(
                        now,
                        number + 1,
                        Optional.of(new AdviceAnswer(question.question(), Optional.empty(), 0)));
            } else {
                offer(now, number + 1, Optional.empty());
            }
        }
        assertThat(asked).isBetween(3, 10);
    }

    @Test
    void answerThatComesAfterItsQuestionWasGivenUpIsTaken() {
        offer(0, 1, Optional.empty());
        desk.enqueueQuestions(0, STEP, List.of(ONE), QUEUE, 0, output);
        desk.tick(1_200, output);
        AdviceAnswer late =
                new AdviceAnswer(questionTo(1).question(), Optional.of(Map.of(ONE, "t")), 2_500);
        offer(1_300, 2, Optional.of(late));

        assertThat(desk.tickets(STEP, 1_300)).isEqualTo(Map.of(ONE, "t"));
    }

    @Test
    void ticketsOfEarlierAnswersHoldBesideNewOnes() {
        offer(0, 1, Optional.empty());
        desk.enqueueQuestions(0, STEP, List.of(ONE), QUEUE, 0, output);
        offer(
                50,
                2,
                Optional.of(
                        new AdviceAnswer(
                                questionTo(1).question(), Optional.of(Map.of(ONE, "t")), 2_500)));
        desk.enqueueQuestions(60, STEP, List.of(TWO), QUEUE, 0, output);
        offer(
                120,
                3,
                Optional.of(
                        new AdviceAnswer(
                                questionTo(2).question(), Optional.of(Map.of(TWO, "u")), 2_500)));

        assertThat(desk.tickets(STEP, 200)).isEqualTo(Map.of(ONE, "t", TWO, "u"));
    }

    @Test
    void daemonThatBroughtRefusalDoesNotDrawTheNextQuestion() {
        offer(0, 1, Optional.empty());
        offer(0, 2, Optional.empty());
        desk.enqueueQuestions(0, STEP, List.of(ONE), QUEUE, 0, output);
        AdviceAnswer refused = new AdviceAnswer(questionTo(2).question(), Optional.empty(), 0);
        offer(50, 3, Optional.of(refused));

        assertThat(questionTo(1).step()).isEqualTo(STEP);
        assertThat(replies).doesNotContainKey(new RequestHandle("vm", 3));
    }
}
