/** The daemon, which runs on every VM of the system. */
@NullMarked
package org.marjoramnotch.daemon;

import org.jspecify.annotations.NullMarked;
