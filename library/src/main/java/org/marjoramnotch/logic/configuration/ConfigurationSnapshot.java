package org.marjoramnotch.logic.configuration;

import java.util.List;
import org.marjoramnotch.model.rule.RuleLine;

/**
 * The complete state of a configuration.
 *
 * @param version the version in force
 * @param lines the rules, sorted by subject
 * @param requests the accepted changes that are kept, oldest first
 */
public record ConfigurationSnapshot(
        long version, List<RuleLine> lines, List<AcceptedRequest> requests) {}
