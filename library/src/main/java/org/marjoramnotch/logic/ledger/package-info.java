/** The replicated state of a cell. */
@NullMarked
package org.marjoramnotch.logic.ledger;

import org.jspecify.annotations.NullMarked;
