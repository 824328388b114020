/** Workflows, which are jobs consisting of graphs of steps, with their tasks and runs. */
@NullMarked
package org.marjoramnotch.model.workflow;

import org.jspecify.annotations.NullMarked;
