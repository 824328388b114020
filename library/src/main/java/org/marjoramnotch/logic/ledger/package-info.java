/** The state that the replicas of a cell agree on. */
@NullMarked
package org.marjoramnotch.logic.ledger;

import org.jspecify.annotations.NullMarked;
