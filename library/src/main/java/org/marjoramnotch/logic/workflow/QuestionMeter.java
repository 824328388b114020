package org.marjoramnotch.logic.workflow;

import java.util.HashSet;
import java.util.Set;
import org.marjoramnotch.logic.admission.AdvisorLoad;
import org.marjoramnotch.logic.admission.WaitingWork;
import org.marjoramnotch.model.workflow.StepId;

/** Measures how many questions a step needs and how long their answers take. */
final class QuestionMeter {
    /** Weight of one answer; twenty answers outweigh the time before. */
    private static final double LEARNING_RATE = 0.05;

    /** Number of questions after which the count of a step's questions begins anew. */
    private static final int COUNTED_QUESTIONS = 500;

    private final Set<StepId> askedSteps = new HashSet<>();
    private int countedQuestions;
    private double questionsPerStep = 1;
    private double questionMilliseconds;
    private long sent;

    void onSent(PendingAdviceQuestion question) {
        sent++;
        countedQuestions++;
        askedSteps.add(question.step);
        if (countedQuestions >= COUNTED_QUESTIONS) {
            questionsPerStep = (double) countedQuestions / askedSteps.size();
            countedQuestions = 0;
            askedSteps.clear();
        }
    }

    void onAnswer(long nowMilliseconds, PendingAdviceQuestion question) {
        long took = nowMilliseconds - question.sentAt();
        questionMilliseconds =
                questionMilliseconds == 0
                        ? took
                        : questionMilliseconds + LEARNING_RATE * (took - questionMilliseconds);
    }

    /** Returns how many questions were sent. */
    long sentCount() {
        return sent;
    }

    AdvisorLoad load(int daemons, int idleDaemons, WaitingWork waiting) {
        return new AdvisorLoad(
                daemons, idleDaemons, questionMilliseconds, questionsPerStep, waiting);
    }
}
