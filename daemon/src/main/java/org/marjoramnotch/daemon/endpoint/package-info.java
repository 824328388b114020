/** Connections to endpoints and the whole answers that come over them. */
@NullMarked
package org.marjoramnotch.daemon.endpoint;

import org.jspecify.annotations.NullMarked;
