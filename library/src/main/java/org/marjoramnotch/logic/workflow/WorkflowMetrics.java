package org.marjoramnotch.logic.workflow;

/**
 * Metrics of the workflow duty at one time.
 *
 * @param knownWorkers number of enrolled workers
 * @param usableWorkers number of enrolled workers on which runs may start
 * @param waitingQuestions number of questions to the placement advisor, and of steps without
 *     tickets, that wait for a daemon
 * @param heldBytes the size of all workflows in a replica
 * @param mostHeldBytes how much the replica that can hold least can hold; 0 if there is no limit
 */
public record WorkflowMetrics(
        int knownWorkers,
        int usableWorkers,
        int waitingQuestions,
        long heldBytes,
        long mostHeldBytes) {}
