package org.marjoramnotch.logic.leader;

import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.order.WorkerCall;

/** Takes what a leader's decisions lead to. */
public interface LeaderOutput {
    /** Proposes a command; every duty is told once it is committed and applied. */
    void propose(Command command);

    /** Answers a request; a reply to a request that is no longer awaited is dropped. */
    void reply(RequestHandle handle, CellReply reply);

    /** Calls a worker; the outcome comes back to {@link LeaderDuty#onCallOutcome}. */
    default void call(WorkerCall call) {
        throw new UnsupportedOperationException("Nothing carries orders to workers here.");
    }

    /** Notes a decision for the log. */
    default void logDecision(DecisionLogEntry note) {}
}
