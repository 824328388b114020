package org.marjoramnotch.logic.configuration;

import java.util.List;
import org.marjoramnotch.model.rule.RuleLine;

/**
 * All that a configuration consists of.
 *
 * @param version the version in force
 * @param lines the rules, sorted by subject
 * @param requests the remembered changes, oldest first
 */
public record ConfigurationSnapshot(
        long version, List<RuleLine> lines, List<AcceptedRequest> requests) {}
