/** Duties, each of which runs on a thread of its own and receives input through a bounded queue. */
@NullMarked
package org.marjoramnotch.daemon.duty;

import org.jspecify.annotations.NullMarked;
