/** Commands of the replicated log and their results. */
@NullMarked
package org.marjoramnotch.model.command;

import org.jspecify.annotations.NullMarked;
