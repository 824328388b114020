/** What the parts of a leader's decisions have in common. */
@NullMarked
package org.marjoramnotch.logic.leader;

import org.jspecify.annotations.NullMarked;
