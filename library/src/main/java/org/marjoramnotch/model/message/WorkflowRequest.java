package org.marjoramnotch.model.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A request about workflows, their configuration, their workers, placement advice or evacuations.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = SubmitWorkflowRequest.class, name = "submit-workflow-request"),
    @JsonSubTypes.Type(value = ReadWorkflow.class, name = "read-workflow"),
    @JsonSubTypes.Type(value = CancelWorkflowRequest.class, name = "cancel-workflow-request"),
    @JsonSubTypes.Type(value = ApplyConfiguration.class, name = "apply-configuration"),
    @JsonSubTypes.Type(value = ReadConfiguration.class, name = "read-configuration"),
    @JsonSubTypes.Type(value = ReportWorker.class, name = "report-worker"),
    @JsonSubTypes.Type(value = ReleaseWorker.class, name = "release-worker"),
    @JsonSubTypes.Type(value = TakeAdviceQuestion.class, name = "take-advice-question"),
    @JsonSubTypes.Type(value = BeginEvacuationRequest.class, name = "begin-evacuation-request"),
    @JsonSubTypes.Type(value = FinishEvacuationRequest.class, name = "finish-evacuation-request"),
    @JsonSubTypes.Type(value = ReportHeldLimit.class, name = "report-held-limit")
})
public sealed interface WorkflowRequest extends CellRequest
        permits SubmitWorkflowRequest,
                ReadWorkflow,
                CancelWorkflowRequest,
                ApplyConfiguration,
                ReadConfiguration,
                ReportWorker,
                ReleaseWorker,
                TakeAdviceQuestion,
                BeginEvacuationRequest,
                FinishEvacuationRequest,
                ReportHeldLimit {}
