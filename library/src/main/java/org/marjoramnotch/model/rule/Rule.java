package org.marjoramnotch.model.rule;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A rule of the operators' configuration. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = TeamRule.class, name = "team"),
    @JsonSubTypes.Type(value = KeyRule.class, name = "key"),
    @JsonSubTypes.Type(value = QueueRule.class, name = "queue")
})
public sealed interface Rule permits TeamRule, KeyRule, QueueRule {
    /** Returns the subject of the rule; a configuration has at most one rule for each subject. */
    RuleSubject subject();
}
