/**
 * The core of one replica of a cell: the replicated log, the state built from it and the leader's
 * duties.
 */
@NullMarked
package org.marjoramnotch.logic.cell;

import org.jspecify.annotations.NullMarked;
