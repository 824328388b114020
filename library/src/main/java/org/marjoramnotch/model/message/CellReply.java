package org.marjoramnotch.model.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A reply of the leader of a cell to a {@link CellRequest}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Done.class, name = "done"),
    @JsonSubTypes.Type(value = Refused.class, name = "refused"),
    @JsonSubTypes.Type(value = NotLeader.class, name = "not-leader"),
    @JsonSubTypes.Type(value = Granted.class, name = "granted"),
    @JsonSubTypes.Type(value = Replayed.class, name = "replayed"),
    @JsonSubTypes.Type(value = EntryRenewed.class, name = "entry-renewed"),
    @JsonSubTypes.Type(value = EndpointRenewed.class, name = "endpoint-renewed"),
    @JsonSubTypes.Type(value = WorkerRenewed.class, name = "worker-renewed"),
    @JsonSubTypes.Type(value = JobAnswer.class, name = "job-answer"),
    @JsonSubTypes.Type(value = RulesAnswer.class, name = "rules-answer"),
    @JsonSubTypes.Type(value = StatusAnswer.class, name = "status-answer"),
    @JsonSubTypes.Type(value = WorkflowAnswer.class, name = "workflow-answer"),
    @JsonSubTypes.Type(value = QueueAnswer.class, name = "queue-answer"),
    @JsonSubTypes.Type(value = ConfigurationAnswer.class, name = "configuration-answer"),
    @JsonSubTypes.Type(value = AdviceQuestion.class, name = "advice-question")
})
public sealed interface CellReply
        permits Done,
                Refused,
                NotLeader,
                Granted,
                Replayed,
                EntryRenewed,
                EndpointRenewed,
                WorkerRenewed,
                JobAnswer,
                RulesAnswer,
                StatusAnswer,
                WorkflowAnswer,
                QueueAnswer,
                ConfigurationAnswer,
                AdviceQuestion {}
