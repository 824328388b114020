package org.marjoramnotch.model.command;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A change of the replicated state of a cell. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ChangeConfiguration.class, name = "change-configuration"),
    @JsonSubTypes.Type(value = RegisterEndpoint.class, name = "register-endpoint"),
    @JsonSubTypes.Type(value = ChangeEndpointState.class, name = "change-endpoint-state"),
    @JsonSubTypes.Type(value = RemoveEndpoint.class, name = "remove-endpoint"),
    @JsonSubTypes.Type(value = ForgetEndpoint.class, name = "forget-endpoint"),
    @JsonSubTypes.Type(value = ReserveSlot.class, name = "reserve-slot"),
    @JsonSubTypes.Type(value = ReleaseSlot.class, name = "release-slot"),
    @JsonSubTypes.Type(value = ForgetClaims.class, name = "forget-claims"),
    @JsonSubTypes.Type(value = RegisterWorker.class, name = "register-worker"),
    @JsonSubTypes.Type(value = ExpireWorker.class, name = "expire-worker"),
    @JsonSubTypes.Type(value = SubmitJob.class, name = "submit-job"),
    @JsonSubTypes.Type(value = CancelJob.class, name = "cancel-job"),
    @JsonSubTypes.Type(value = StartTasks.class, name = "start-tasks"),
    @JsonSubTypes.Type(value = EndTask.class, name = "end-task"),
    @JsonSubTypes.Type(value = WorkflowCommand.class)
})
public sealed interface Command
        permits ChangeConfiguration,
                RegisterEndpoint,
                ChangeEndpointState,
                RemoveEndpoint,
                ForgetEndpoint,
                ReserveSlot,
                ReleaseSlot,
                ForgetClaims,
                RegisterWorker,
                ExpireWorker,
                SubmitJob,
                CancelJob,
                StartTasks,
                EndTask,
                WorkflowCommand {}
