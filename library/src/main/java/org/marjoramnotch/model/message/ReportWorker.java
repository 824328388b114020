package org.marjoramnotch.model.message;

import org.marjoramnotch.model.fleet.FleetWorker;

/**
 * A worker tells that it lives and in which condition.
 *
 * @param worker the worker
 * @param sequence rises with each report of one life, so that a late one is told
 */
public record ReportWorker(FleetWorker worker, long sequence) implements WorkflowRequest {}
