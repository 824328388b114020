package org.marjoramnotch.logic.admission;

/**
 * The load of the placement advisor.
 *
 * @param daemons number of daemons that have lately asked it
 * @param idleDaemons number of daemons that wait for a question
 * @param questionMilliseconds mean time from a question to its answer; 0 if not known
 * @param questionsPerStep mean number of questions about a step
 * @param waiting number of steps about which no question has been asked
 */
public record AdvisorLoad(
        int daemons,
        int idleDaemons,
        double questionMilliseconds,
        double questionsPerStep,
        WaitingWork waiting) {
    /** The load of an advisor that nobody has asked. */
    public static final AdvisorLoad NONE = new AdvisorLoad(0, 0, 0, 0, new WaitingWork());
}
