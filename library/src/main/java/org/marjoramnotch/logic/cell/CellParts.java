package org.marjoramnotch.logic.cell;

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
}
