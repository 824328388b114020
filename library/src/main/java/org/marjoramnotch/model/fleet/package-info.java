/** Queues, pools, teams and the workers that take orders. */
@NullMarked
package org.marjoramnotch.model.fleet;

import org.jspecify.annotations.NullMarked;
