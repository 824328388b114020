/** Counters, gauges and histograms that are exported to Prometheus. */
@NullMarked
package org.marjoramnotch.daemon.metrics;

import org.jspecify.annotations.NullMarked;
