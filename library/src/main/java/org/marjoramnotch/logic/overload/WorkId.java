package org.marjoramnotch.logic.overload;

import org.marjoramnotch.model.identifier.JobId;

/**
 * Identifies one occurrence of a workflow.
 *
 * @param workflow the workflow
 * @param occurrence the number of the occurrence; 0 unless the workflow recurs
 */
public record WorkId(JobId workflow, int occurrence) {}
