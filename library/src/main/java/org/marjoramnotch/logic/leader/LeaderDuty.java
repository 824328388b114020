package org.marjoramnotch.logic.leader;

import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.order.CallOutcome;

/**
 * One part of a leader's decisions. An instance lives for one term of leadership: what it keeps is
 * lost with the term, and what must survive is in the ledger. It starts when the ledger has all
 * entries of earlier terms. Leases that earlier leaders may have granted count from its start.
 */
public interface LeaderDuty {
    /** Takes a request; answers it now or later, exactly once. */
    void onRequest(
            long nowMilliseconds, RequestHandle handle, CellRequest request, LeaderOutput output);

    /**
     * Is told of each command that was applied in this term, in log order, also of other duties.
     */
    void onApplied(
            long nowMilliseconds, Command command, CommandResult result, LeaderOutput output);

    /** Is told what came of a call that it made with {@link LeaderOutput#call}. */
    default void onCallOutcome(long nowMilliseconds, CallOutcome outcome, LeaderOutput output) {}

    /**
     * Is told that a batch of calls is over; its effects leave next. What walks much state belongs
     * here, so that it is done once for all calls of a batch.
     */
    default void onBatchEnd(long nowMilliseconds, LeaderOutput output) {}

    /** Is told that its term is over; from then on it must not follow the ledger any more. */
    default void onTermEnd() {}

    /** Advances time; called about every 20 milliseconds. Must not walk all tasks or teams. */
    void onTick(long nowMilliseconds, LeaderOutput output);
}
