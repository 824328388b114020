package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.logic.evacuation.ColdZones;
import org.marjoramnotch.logic.evacuation.ZoneCheck;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.BeginEvacuation;
import org.marjoramnotch.model.command.FinishEvacuation;
import org.marjoramnotch.model.command.WorkflowCommand;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.fleet.ZoneEvacuation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.message.BeginEvacuationRequest;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.FinishEvacuationRequest;
import org.marjoramnotch.model.time.Clock;

/**
 * Handles requests to begin and finish evacuations. Each is confirmed by the commit of a command of
 * its own, also if the zone is in the requested state: the leader may have been replaced, and an
 * order of the other kind may be under way.
 */
final class EvacuationRequestHandler {
    private final WorkflowLedger ledger;
    private final ColdZones coldZones;
    private final ZoneCheck zoneCheck;
    private final Clock wallClock;
    private final PendingReplies<WorkflowCommand> pendingReplies = new PendingReplies<>();

    /** The command proposed last for each zone that has a command under way. */
    private final Map<AvailabilityZone, WorkflowCommand> lastProposed = new HashMap<>();

    private long lastProposedEpochMilliseconds;

    EvacuationRequestHandler(
            WorkflowLedger ledger, ColdZones coldZones, ZoneCheck zoneCheck, Clock wallClock) {
        this.ledger = ledger;
        this.coldZones = coldZones;
        this.zoneCheck = zoneCheck;
        this.wallClock = wallClock;
    }

    void begin(RequestHandle handle, BeginEvacuationRequest request, LeaderOutput output) {
        requireKnown(request.zone(), "begin", output);
        WorkflowCommand last = lastProposed.get(request.zone());
        if (last instanceof BeginEvacuation) {
            pendingReplies.add(last, handle);
        } else {
            propose(
                    handle,
                    request.zone(),
                    new BeginEvacuation(request.zone(), nextEpochMilliseconds()),
                    output);
        }
    }

    void finish(RequestHandle handle, FinishEvacuationRequest request, LeaderOutput output) {
        requireKnown(request.zone(), "finish", output);
        WorkflowCommand last = lastProposed.get(request.zone());
        if (last instanceof FinishEvacuation) {
            pendingReplies.add(last, handle);
        } else {
            propose(
                    handle,
                    request.zone(),
                    new FinishEvacuation(request.zone(), nextEpochMilliseconds()),
                    output);
        }
    }

    void onApplied(long nowMilliseconds, WorkflowCommand command, LeaderOutput output) {
        if (command instanceof BeginEvacuation begin) {
            boolean effective =
                    state(begin.zone())
                            .filter(ZoneEvacuation::active)
                            .map(ZoneEvacuation::begunEpochMilliseconds)
                            .equals(Optional.of(begin.proposedEpochMilliseconds()));
            log("evacuation_begun", begin.zone(), effective, output);
            answer(begin.zone(), begin, output);
        } else if (command instanceof FinishEvacuation finish) {
            boolean effective =
                    state(finish.zone())
                            .filter(evacuation -> !evacuation.active())
                            .map(ZoneEvacuation::endedEpochMilliseconds)
                            .equals(Optional.of(finish.proposedEpochMilliseconds()));
            if (effective) {
                coldZones.onFinished(nowMilliseconds, finish.zone());
            }
            log("evacuation_finished", finish.zone(), effective, output);
            answer(finish.zone(), finish, output);
        }
    }

    private void requireKnown(AvailabilityZone zone, String order, LeaderOutput output) {
        try {
            zoneCheck.requireKnown(zone);
        } catch (MarjoramnotchException refusal) {
            output.logDecision(
                    DecisionLogEntry.of(
                                    "evacuation_refused",
                                    "zone",
                                    zone,
                                    "order",
                                    order,
                                    "reason",
                                    refusal.code())
                            .at(output.position()));
            throw refusal;
        }
    }

    private void propose(
            RequestHandle handle,
            AvailabilityZone zone,
            WorkflowCommand command,
            LeaderOutput output) {
        lastProposed.put(zone, command);
        pendingReplies.add(command, handle);
        output.propose(command);
    }

    /** Returns a time by which the commands of this leader are told apart. */
    private long nextEpochMilliseconds() {
        lastProposedEpochMilliseconds =
                Math.max(lastProposedEpochMilliseconds + 1, wallClock.nowMilliseconds());
        return lastProposedEpochMilliseconds;
    }

    private Optional<ZoneEvacuation> state(AvailabilityZone zone) {
        return ledger.evacuations().of(zone);
    }

    private void answer(AvailabilityZone zone, WorkflowCommand command, LeaderOutput output) {
        lastProposed.remove(zone, command);
        pendingReplies.answer(command, new Done(), output);
    }

    private void log(String event, AvailabilityZone zone, boolean effective, LeaderOutput output) {
        long workers = 0;
        long runs = 0;
        for (WorkerEntry entry : ledger.workers()) {
            if (entry.worker().availabilityZone().equals(zone)) {
                workers++;
                runs += entry.runs().size();
            }
        }
        output.logDecision(
                DecisionLogEntry.of(
                                event,
                                "zone",
                                zone,
                                "outcome",
                                effective ? "EFFECTIVE" : "REPEATED",
                                "begun",
                                state(zone).map(ZoneEvacuation::begunEpochMilliseconds).orElse(0L),
                                "last_end",
                                state(zone).map(ZoneEvacuation::endedEpochMilliseconds).orElse(0L),
                                "workers",
                                workers,
                                "runs",
                                runs)
                        .at(output.position()));
    }
}
