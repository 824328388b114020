/** The HTTP interfaces towards callers, endpoints, workers, operators and the balancer. */
@NullMarked
package org.marjoramnotch.daemon.http;

import org.jspecify.annotations.NullMarked;
