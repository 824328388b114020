package org.marjoramnotch.model.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A request to the leader of a cell. It is safe to resend. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PlaceRequest.class, name = "place-request"),
    @JsonSubTypes.Type(value = EndAttempt.class, name = "end-attempt"),
    @JsonSubTypes.Type(value = RenewEntry.class, name = "renew-entry"),
    @JsonSubTypes.Type(value = AnnounceEndpoint.class, name = "announce-endpoint"),
    @JsonSubTypes.Type(value = ForgetEndpointRequest.class, name = "forget-endpoint-request"),
    @JsonSubTypes.Type(value = AnnounceWorker.class, name = "announce-worker"),
    @JsonSubTypes.Type(value = RenewWorker.class, name = "renew-worker"),
    @JsonSubTypes.Type(value = SubmitJobRequest.class, name = "submit-job-request"),
    @JsonSubTypes.Type(value = ReadJob.class, name = "read-job"),
    @JsonSubTypes.Type(value = CancelJobRequest.class, name = "cancel-job-request"),
    @JsonSubTypes.Type(value = ApplyRules.class, name = "apply-rules"),
    @JsonSubTypes.Type(value = ReadRules.class, name = "read-rules"),
    @JsonSubTypes.Type(value = ReadStatus.class, name = "read-status"),
    @JsonSubTypes.Type(value = WorkflowRequest.class)
})
public sealed interface CellRequest
        permits PlaceRequest,
                EndAttempt,
                RenewEntry,
                AnnounceEndpoint,
                ForgetEndpointRequest,
                AnnounceWorker,
                RenewWorker,
                SubmitJobRequest,
                ReadJob,
                CancelJobRequest,
                ApplyRules,
                ReadRules,
                ReadStatus,
                WorkflowRequest {}
