/** Network threads and the parts of HTTP that callers' and endpoints' connections share. */
@NullMarked
package org.marjoramnotch.daemon.transport;

import org.jspecify.annotations.NullMarked;
