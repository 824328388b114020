/**
 * Workflows: the replicated state, and the leader's decisions on scheduling, placement, orders to
 * workers and answers to callers.
 */
@NullMarked
package org.marjoramnotch.logic.workflow;

import org.jspecify.annotations.NullMarked;
