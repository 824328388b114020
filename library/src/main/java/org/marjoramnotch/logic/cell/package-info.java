/** A replica's whole part in a cell: the log, the state it carries and the leader's decisions. */
@NullMarked
package org.marjoramnotch.logic.cell;

import org.jspecify.annotations.NullMarked;
