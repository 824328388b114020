package org.marjoramnotch.model.rule;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** One rule of the operators. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = TeamRule.class, name = "team"),
    @JsonSubTypes.Type(value = KeyRule.class, name = "key"),
    @JsonSubTypes.Type(value = QueueRule.class, name = "queue")
})
public sealed interface Rule permits TeamRule, KeyRule, QueueRule {
    /** Returns what the rule is about; a configuration has one rule for each subject. */
    RuleSubject subject();
}
