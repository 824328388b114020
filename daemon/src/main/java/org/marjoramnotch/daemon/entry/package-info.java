/** Forwards callers' requests to the endpoints that the leader has granted. */
@NullMarked
package org.marjoramnotch.daemon.entry;

import org.jspecify.annotations.NullMarked;
