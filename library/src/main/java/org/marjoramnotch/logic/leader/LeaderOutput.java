package org.marjoramnotch.logic.leader;

import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.order.WorkerCall;

/** Receives the effects of a leader's decisions. */
public interface LeaderOutput {
    /** Proposes a command. Every duty is notified once the command is committed and applied. */
    void propose(Command command);

    /** Answers a request. A reply that is no longer awaited is dropped. */
    void reply(RequestHandle handle, CellReply reply);

    /** Calls a worker. The outcome is passed to {@link LeaderDuty#onCallOutcome}. */
    default void call(WorkerCall call) {
        throw new UnsupportedOperationException(
                "This output cannot call workers; override call(WorkerCall).");
    }

    /** Returns the position of the log on which the leader decides. */
    default LogPosition position() {
        return LogPosition.NONE;
    }

    /** Writes a decision to the process's own log. */
    default void logDecision(DecisionLogEntry logEntry) {}
}
