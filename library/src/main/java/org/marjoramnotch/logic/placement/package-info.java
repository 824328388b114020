/** Places quick requests and feeds on endpoint slots: replicated state and leader decisions. */
@NullMarked
package org.marjoramnotch.logic.placement;

import org.jspecify.annotations.NullMarked;
