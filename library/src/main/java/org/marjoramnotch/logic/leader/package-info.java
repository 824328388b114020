/** The common interfaces of the components that make a leader's decisions. */
@NullMarked
package org.marjoramnotch.logic.leader;

import org.jspecify.annotations.NullMarked;
