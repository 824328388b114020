/** Carries callers' requests to endpoints, by grants of the leader. */
@NullMarked
package org.marjoramnotch.daemon.entry;

import org.jspecify.annotations.NullMarked;
