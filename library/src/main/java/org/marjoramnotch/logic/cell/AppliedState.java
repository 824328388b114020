package org.marjoramnotch.logic.cell;

import java.util.OptionalLong;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.logic.workflow.WorkflowLedger;
import org.marjoramnotch.model.fleet.FleetConfiguration;

/**
 * Which versions a replica has applied.
 *
 * @param index the index of the last applied entry
 * @param restoredIndex the index of the snapshot from which the state was last restored, or 0
 * @param configurationVersion the version of the configuration of queues, pools and teams
 * @param configurationProposedEpochMilliseconds when a leader proposed it, in Unix time
 * @param rulesVersion the version of the rules
 */
public record AppliedState(
        long index,
        long restoredIndex,
        OptionalLong configurationVersion,
        OptionalLong configurationProposedEpochMilliseconds,
        long rulesVersion) {
    static AppliedState of(Ledger ledger, long index, long restoredIndex) {
        WorkflowLedger workflow = ledger.workflow();
        return new AppliedState(
                index,
                restoredIndex,
                workflow.configuration()
                        .map(FleetConfiguration::version)
                        .map(OptionalLong::of)
                        .orElseGet(OptionalLong::empty),
                workflow.configurationProposedEpochMilliseconds(),
                ledger.configurationVersion());
    }

    /** Returns whether the same versions are in force in another state. */
    boolean hasVersionsOf(AppliedState other) {
        return configurationVersion.equals(other.configurationVersion)
                && rulesVersion == other.rulesVersion;
    }

    /**
     * Returns the time from the proposal of the configuration until a given time, at least 0: the
     * clocks of the leader and of this replica may differ.
     */
    public OptionalLong configurationAgeMilliseconds(long epochMilliseconds) {
        return configurationProposedEpochMilliseconds.isPresent()
                ? OptionalLong.of(
                        Math.max(
                                0,
                                epochMilliseconds
                                        - configurationProposedEpochMilliseconds.getAsLong()))
                : OptionalLong.empty();
    }
}
