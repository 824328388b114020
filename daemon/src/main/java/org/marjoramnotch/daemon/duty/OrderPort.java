package org.marjoramnotch.daemon.duty;

import java.util.function.Consumer;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.WorkerCall;

/** Carries the leader's orders to workers. */
public interface OrderPort {
    /** A port for cells without workers that take orders. */
    OrderPort NONE = (call, outcome) -> outcome.accept(new CallOutcome.Unanswered(call.id()));

    /** Makes a call without blocking; its outcome is handed over exactly once. */
    void send(WorkerCall call, Consumer<CallOutcome> outcome);
}
