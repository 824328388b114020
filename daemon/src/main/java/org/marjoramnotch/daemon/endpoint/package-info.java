/** Connections to endpoints and the answers received over them. */
@NullMarked
package org.marjoramnotch.daemon.endpoint;

import org.jspecify.annotations.NullMarked;
