package org.marjoramnotch.logic.workflow;

/**
 * The state of the decisions about workflows at one time.
 *
 * @param knownWorkers workers that are enrolled
 * @param usableWorkers those of them on which runs may start
 * @param waitingQuestions questions to the placement advisor that no daemon has taken yet
 */
public record WorkflowMetrics(int knownWorkers, int usableWorkers, int waitingQuestions) {}
