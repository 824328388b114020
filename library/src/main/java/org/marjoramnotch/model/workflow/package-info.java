/** Workflows: jobs that are graphs of steps, their tasks and the runs of these. */
@NullMarked
package org.marjoramnotch.model.workflow;

import org.jspecify.annotations.NullMarked;
