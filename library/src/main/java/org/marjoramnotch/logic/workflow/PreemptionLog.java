package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.preemption.PoolState;
import org.marjoramnotch.logic.preemption.PreemptionCandidate;
import org.marjoramnotch.logic.preemption.PreemptionPlan;
import org.marjoramnotch.logic.preemption.RunHistory;
import org.marjoramnotch.logic.preemption.UrgentStep;
import org.marjoramnotch.model.workflow.StepId;

/** Logs each stop of a run for urgent work, and once why too little is stopped for a step. */
final class PreemptionLog {
    /** Steps whose reason is remembered, so that it is logged once. */
    private static final int MAXIMUM_STEPS = 1_000;

    private final Map<StepId, PreemptionPlan.Declined> logged =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(
                        Map.Entry<StepId, PreemptionPlan.Declined> eldest) {
                    return size() > MAXIMUM_STEPS;
                }
            };

    void log(
            PoolState state,
            PreemptionPlan plan,
            List<UrgentStep> late,
            RunHistory history,
            LeaderOutput output) {
        Map<StepId, Long> latestStarts = new HashMap<>();
        late.forEach(step -> latestStarts.put(step.id(), step.latestStart()));
        for (PreemptionPlan.Stop stop : plan.stops()) {
            long slack =
                    latestStarts.getOrDefault(stop.step(), state.nowMilliseconds())
                            - state.nowMilliseconds();
            for (PreemptionCandidate.Part part : stop.candidate().parts()) {
                output.logDecision(
                        DecisionLogEntry.of(
                                "run_preempted",
                                "run",
                                part.run(),
                                "worker",
                                part.worker().worker(),
                                "for",
                                stop.step(),
                                "cause",
                                stop.candidate().loss(),
                                "lost_core_ms",
                                stop.candidate().lostProcessorMilliseconds(part),
                                "slack_ms",
                                slack,
                                "stop_ms",
                                state.stopMilliseconds(),
                                "freed_millicores_per_s",
                                Math.round(state.freedPerMillisecond() * 1_000),
                                "before",
                                history.preemptions(part.run().task())));
            }
        }
        plan.declined()
                .forEach(
                        (step, reason) -> {
                            if (logged.put(step, reason) != reason) {
                                output.logDecision(
                                        DecisionLogEntry.of(
                                                "preemption_declined",
                                                "step",
                                                step,
                                                "reason",
                                                reason));
                            }
                        });
    }
}
