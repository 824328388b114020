/** The HTTP interfaces for callers, endpoints, workers, operators and the load balancer. */
@NullMarked
package org.marjoramnotch.daemon.http;

import org.jspecify.annotations.NullMarked;
