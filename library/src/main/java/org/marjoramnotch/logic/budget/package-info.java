/** How much state replicas can hold, and what is refused because of it. */
@NullMarked
package org.marjoramnotch.logic.budget;

import org.jspecify.annotations.NullMarked;
