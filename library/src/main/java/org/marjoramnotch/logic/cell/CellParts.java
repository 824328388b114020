package org.marjoramnotch.logic.cell;

import java.util.Optional;
import org.marjoramnotch.logic.leader.LeaderDuty;
import org.marjoramnotch.logic.ledger.Ledger;

/** Makes the parts of a leader's decisions anew for each term of leadership. */
public interface CellParts {
    /** Returns the part that changes the rules. */
    LeaderDuty configuration(Ledger ledger, long termStartMilliseconds);

    /** Returns the part that places requests on endpoints. */
    LeaderDuty placement(Ledger ledger, long termStartMilliseconds);

    /** Returns the part that places jobs on workers. */
    LeaderDuty job(Ledger ledger, long termStartMilliseconds);

    /** Returns all parts as one. */
    default LeaderDuty all(Ledger ledger, long termStartMilliseconds) {
        return new LeaderDuties(
                configuration(ledger, termStartMilliseconds),
                placement(ledger, termStartMilliseconds),
                job(ledger, termStartMilliseconds),
                Optional.empty(),
                Optional.empty());
    }

    /**
     * Returns all parts as one, with those that give orders to workers.
     *
     * @param fencingToken higher than that of every earlier leader
     */
    default LeaderDuty all(Ledger ledger, long termStartMilliseconds, long fencingToken) {
        return all(ledger, termStartMilliseconds);
    }

    /** Returns parts that report to the measures, if these can be measured. */
    default CellParts measured(LeaderMeasures measures) {
        return this;
    }
}
