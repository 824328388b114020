package org.marjoramnotch.model.command;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A change of the configuration, the workers or the workflows in the replicated state. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ReplaceConfiguration.class, name = "replace-configuration"),
    @JsonSubTypes.Type(value = SubmitWorkflow.class, name = "submit-workflow"),
    @JsonSubTypes.Type(value = CancelWorkflow.class, name = "cancel-workflow"),
    @JsonSubTypes.Type(value = FailWorkflow.class, name = "fail-workflow"),
    @JsonSubTypes.Type(value = ForgetWorkflows.class, name = "forget-workflows"),
    @JsonSubTypes.Type(value = EnrollWorker.class, name = "enroll-worker"),
    @JsonSubTypes.Type(value = DismissWorker.class, name = "dismiss-worker"),
    @JsonSubTypes.Type(value = StartRuns.class, name = "start-runs"),
    @JsonSubTypes.Type(value = EndRuns.class, name = "end-runs"),
    @JsonSubTypes.Type(value = BeginEvacuation.class, name = "begin-evacuation"),
    @JsonSubTypes.Type(value = FinishEvacuation.class, name = "finish-evacuation"),
    @JsonSubTypes.Type(value = RecordHeldLimit.class, name = "record-held-limit")
})
public sealed interface WorkflowCommand extends Command
        permits ReplaceConfiguration,
                SubmitWorkflow,
                CancelWorkflow,
                FailWorkflow,
                ForgetWorkflows,
                EnrollWorker,
                DismissWorker,
                StartRuns,
                EndRuns,
                BeginEvacuation,
                FinishEvacuation,
                RecordHeldLimit {}
