package org.marjoramnotch.logic.replication;

/** Receives the decisions about the founding of a group; repeated ones are left out. */
@FunctionalInterface
public interface FoundingListener {
    /**
     * Called after a decision.
     *
     * @param group the group that the decision is about; empty if there is none
     */
    void onDecision(FoundingDecision decision, String group);
}
