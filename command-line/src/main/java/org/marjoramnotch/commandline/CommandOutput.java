package org.marjoramnotch.commandline;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a command tells when it succeeds.
 *
 * @param text for people, without a line end
 * @param json for programs
 */
public record CommandOutput(String text, JsonNode json) {}
