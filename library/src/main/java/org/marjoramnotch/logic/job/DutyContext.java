package org.marjoramnotch.logic.job;

import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.Refused;

/**
 * The context of the call that a duty is handling: the current time, the receiver of the effects,
 * and the timers.
 */
final class DutyContext {
    private final TimerQueue timers = new TimerQueue();
    private long nowMilliseconds;
    private @Nullable LeaderOutput output;

    DutyContext(long nowMilliseconds) {
        this.nowMilliseconds = nowMilliseconds;
    }

    /** Starts to handle a call. The time of the duty never decreases. */
    void beginCall(long atMilliseconds, LeaderOutput newOutput) {
        nowMilliseconds = Math.max(nowMilliseconds, atMilliseconds);
        output = newOutput;
    }

    long now() {
        return nowMilliseconds;
    }

    void propose(Command command) {
        output().propose(command);
    }

    void reply(RequestHandle handle, CellReply reply) {
        output().reply(handle, reply);
    }

    void refuse(RequestHandle handle, Refusal refusal) {
        output().reply(handle, new Refused(refusal));
    }

    void schedule(long atMilliseconds, Runnable action) {
        timers.schedule(atMilliseconds, action);
    }

    void runDueTimers() {
        timers.runDue(nowMilliseconds);
    }

    private LeaderOutput output() {
        if (output == null) {
            throw new IllegalStateException("The duty produced an effect outside of a call");
        }
        return output;
    }
}
