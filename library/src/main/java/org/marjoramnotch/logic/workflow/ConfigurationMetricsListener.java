package org.marjoramnotch.logic.workflow;

import org.marjoramnotch.model.error.ErrorCode;

/** Receives events about the configuration, for metrics. */
public interface ConfigurationMetricsListener {
    /** A listener that ignores all events. */
    ConfigurationMetricsListener NONE = (code, versionAgeMilliseconds) -> {};

    /** Called when a call was refused because of a configuration that was proposed so long ago. */
    void onCallRefused(ErrorCode code, long versionAgeMilliseconds);
}
