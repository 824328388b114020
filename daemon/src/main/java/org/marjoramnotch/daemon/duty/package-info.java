/** Threads with one duty each, joined by bounded rings. */
@NullMarked
package org.marjoramnotch.daemon.duty;

import org.jspecify.annotations.NullMarked;
