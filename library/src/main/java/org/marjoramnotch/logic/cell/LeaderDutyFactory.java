package org.marjoramnotch.logic.cell;

import java.util.Optional;
import org.marjoramnotch.logic.leader.LeaderDuty;
import org.marjoramnotch.logic.ledger.Ledger;

/** Creates the leader's duties for each term of leadership. */
public interface LeaderDutyFactory {
    /** Creates the duty that changes the rules. */
    LeaderDuty createConfiguration(Ledger ledger, long termStartMilliseconds);

    /** Creates the duty that places requests on endpoints. */
    LeaderDuty createPlacement(Ledger ledger, long termStartMilliseconds);

    /** Creates the duty that places jobs on workers. */
    LeaderDuty createJob(Ledger ledger, long termStartMilliseconds);

    /** Creates all duties, combined into one. */
    default LeaderDuty createAll(Ledger ledger, long termStartMilliseconds) {
        return new CompositeLeaderDuty(
                createConfiguration(ledger, termStartMilliseconds),
                createPlacement(ledger, termStartMilliseconds),
                createJob(ledger, termStartMilliseconds),
                Optional.empty(),
                Optional.empty());
    }

    /**
     * Creates all duties, combined into one, including those that call workers.
     *
     * @param fencingToken higher than that of every earlier leader
     */
    default LeaderDuty createAll(Ledger ledger, long termStartMilliseconds, long fencingToken) {
        return createAll(ledger, termStartMilliseconds);
    }

    /**
     * Returns a factory whose duties report to a metrics listener, if this factory supports one.
     */
    default LeaderDutyFactory withMetricsListener(LeaderMetricsListener listener) {
        return this;
    }
}
