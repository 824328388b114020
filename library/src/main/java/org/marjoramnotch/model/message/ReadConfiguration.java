package org.marjoramnotch.model.message;

/** Asks for the configuration in force. */
public record ReadConfiguration() implements WorkflowRequest {}
