package org.marjoramnotch.model.order;

import org.marjoramnotch.model.workflow.RunEnd;

/**
 * An end that a worker remembers.
 *
 * @param number counts the ends of this life of the worker, from 1
 * @param end the end
 */
public record RunEndReport(long number, RunEnd end) {}
