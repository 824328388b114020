package org.marjoramnotch.model.fleet;

/**
 * What asking the placement advisor about a step of a queue costs.
 *
 * @param decisionMilliseconds time of an answer without the workers
 * @param perWorkerMilliseconds time that each named worker adds
 * @param ticketMilliseconds how long the tickets of an answer hold
 */
public record AdviceTerms(
        double decisionMilliseconds, double perWorkerMilliseconds, double ticketMilliseconds) {}
