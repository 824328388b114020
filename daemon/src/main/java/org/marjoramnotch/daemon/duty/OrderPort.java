package org.marjoramnotch.daemon.duty;

import java.util.function.Consumer;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.WorkerCall;

/** Sends the leader's orders to workers. */
public interface OrderPort {
    /** A port for cells that have no workers to send orders to. */
    OrderPort NONE = (call, outcome) -> outcome.accept(new CallOutcome.Unanswered(call.id()));

    /** Makes a call without blocking; its outcome is passed on exactly once. */
    void send(WorkerCall call, Consumer<CallOutcome> outcome);
}
