package org.marjoramnotch.logic.leader;

import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.order.CallOutcome;

/**
 * A component that makes part of the leader's decisions. An instance is used for one term of
 * leadership: its own state is lost at the end of the term, and state that must survive is in the
 * ledger. It starts once all log entries of earlier terms have been applied to the ledger. Leases
 * that earlier leaders may have granted are counted from its start.
 */
public interface LeaderDuty {
    /** Handles a request and answers it exactly once, immediately or later. */
    void onRequest(
            long nowMilliseconds, RequestHandle handle, CellRequest request, LeaderOutput output);

    /**
     * Handles a command that was applied in this term, including commands of other duties. Called
     * in log order.
     */
    void onApplied(
            long nowMilliseconds, Command command, CommandResult result, LeaderOutput output);

    /** Handles the outcome of a call that this duty made with {@link LeaderOutput#call}. */
    default void onCallOutcome(long nowMilliseconds, CallOutcome outcome, LeaderOutput output) {}

    /**
     * Handles the end of a batch of calls; the effects of the batch are carried out next. Work that
     * iterates over much state belongs here, so that it is done once per batch and not once per
     * call.
     */
    default void onBatchEnd(long nowMilliseconds, LeaderOutput output) {}

    /** Handles the end of the term. From then on the duty must no longer follow the ledger. */
    default void onTermEnd() {}

    /**
     * Advances time; called about every 20 milliseconds. Must not iterate over all tasks or teams.
     */
    void onTick(long nowMilliseconds, LeaderOutput output);
}
