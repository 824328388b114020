/** Counters and histograms in the form of the Prometheus client. */
@NullMarked
package org.marjoramnotch.daemon.metrics;

import org.jspecify.annotations.NullMarked;
