package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.marjoramnotch.model.order.CallOutcome;
import org.marjoramnotch.model.order.RunEndReport;
import org.marjoramnotch.model.workflow.AppliedEnd;
import org.marjoramnotch.model.workflow.RunEndEffect;
import org.marjoramnotch.model.workflow.RunId;

/**
 * Where the ends in a command come from; the leader keeps it until the command is applied.
 *
 * @param source the source of the ends that have no number
 * @param call the number of the call whose answer shows the ends; empty without one
 * @param numbers the numbers of the ends that a list shows
 */
record EndOrigin(RunEndSource source, OptionalLong call, Map<RunId, Long> numbers) {
    EndOrigin {
        numbers = Map.copyOf(numbers);
    }

    /** Returns an origin that is no answer to a call. */
    static EndOrigin of(RunEndSource source) {
        return new EndOrigin(source, OptionalLong.empty(), Map.of());
    }

    /** Returns the origin of ends for which a worker refused a start. */
    static EndOrigin ofRefusal(long call) {
        return new EndOrigin(RunEndSource.REFUSAL, OptionalLong.of(call), Map.of());
    }

    static EndOrigin ofList(CallOutcome.Listed list) {
        Map<RunId, Long> numbers = new HashMap<>();
        for (RunEndReport report : list.ended()) {
            numbers.put(report.end().run(), report.number());
        }
        return new EndOrigin(RunEndSource.NOT_IN_LIST, OptionalLong.of(list.id()), numbers);
    }

    RunEndSource sourceOf(AppliedEnd applied) {
        if (applied.effect() == RunEndEffect.ENDED_WITH_GANG) {
            return RunEndSource.GANG;
        }
        return numbers.containsKey(applied.end().run()) ? RunEndSource.LIST : source;
    }

    /** Returns the number of an end in the worker's list; empty if no list shows it. */
    OptionalLong numberOf(RunId run) {
        Long number = numbers.get(run);
        return number == null ? OptionalLong.empty() : OptionalLong.of(number);
    }
}
