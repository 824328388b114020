package org.marjoramnotch.commandline;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The output of a command that succeeded.
 *
 * @param text the output for people, without a line end
 * @param json the output for programs
 */
public record CommandOutput(String text, JsonNode json) {}
