/** Queues, pools, teams and the workers that accept orders. */
@NullMarked
package org.marjoramnotch.model.fleet;

import org.jspecify.annotations.NullMarked;
