/**
 * Placement of quick requests and feeds on the slots of endpoints: the replicated state and the
 * decisions of the leader.
 */
@NullMarked
package org.marjoramnotch.logic.placement;

import org.jspecify.annotations.NullMarked;
