package org.marjoramnotch.model.message;

/** Reads the configuration in force. */
public record ReadConfiguration() implements WorkflowRequest {}
