/** Log lines of key=value pairs, one for each event. */
@NullMarked
package org.marjoramnotch.daemon.log;

import org.jspecify.annotations.NullMarked;
