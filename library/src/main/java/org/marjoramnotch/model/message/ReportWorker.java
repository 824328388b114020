package org.marjoramnotch.model.message;

import org.marjoramnotch.model.fleet.FleetWorker;

/**
 * Reports that a worker is alive, and its condition.
 *
 * @param worker the worker
 * @param sequence increases with each report of one incarnation of the worker, so that a delayed
 *     report is recognized
 */
public record ReportWorker(FleetWorker worker, long sequence) implements WorkflowRequest {}
