package org.marjoramnotch.logic.cell;

import java.util.Optional;
import org.marjoramnotch.logic.leader.LeaderDuty;
import org.marjoramnotch.logic.ledger.Ledger;

/** Makes the parts of a leader's decisions anew for each term of leadership. */
public interface LeaderDutyFactory {
    /** Returns the part that changes the rules. */
    LeaderDuty createConfiguration(Ledger ledger, long termStartMilliseconds);

    /** Returns the part that places requests on endpoints. */
    LeaderDuty createPlacement(Ledger ledger, long termStartMilliseconds);

    /** Returns the part that places jobs on workers. */
    LeaderDuty createJob(Ledger ledger, long termStartMilliseconds);

    /** Returns all parts as one. */
    default LeaderDuty createAll(Ledger ledger, long termStartMilliseconds) {
        return new CompositeLeaderDuty(
                createConfiguration(ledger, termStartMilliseconds),
                createPlacement(ledger, termStartMilliseconds),
                createJob(ledger, termStartMilliseconds),
                Optional.empty(),
                Optional.empty());
    }

    /**
     * Returns all parts as one, with those that give orders to workers.
     *
     * @param fencingToken higher than that of every earlier leader
     */
    default LeaderDuty createAll(Ledger ledger, long termStartMilliseconds, long fencingToken) {
        return createAll(ledger, termStartMilliseconds);
    }

    /** Returns parts that report to the measures, if these can be measured. */
    default LeaderDutyFactory withMetricsListener(LeaderMetricsListener measures) {
        return this;
    }
}
