/**
 * Workflows: the state that replicas agree on, and the leader's decisions about order, placement,
 * orders to workers and answers to callers.
 */
@NullMarked
package org.marjoramnotch.logic.workflow;

import org.jspecify.annotations.NullMarked;
