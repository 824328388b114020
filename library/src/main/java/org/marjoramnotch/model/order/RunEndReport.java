package org.marjoramnotch.model.order;

import org.marjoramnotch.model.workflow.RunEnd;

/**
 * The end of a run, as a worker lists it until it is acknowledged.
 *
 * @param number number of the end, counted from 1 in each incarnation of the worker
 * @param end how the run ended
 */
public record RunEndReport(long number, RunEnd end) {}
