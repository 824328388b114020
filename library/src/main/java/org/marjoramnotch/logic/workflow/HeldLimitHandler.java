package org.marjoramnotch.logic.workflow;

import java.util.HashMap;
import java.util.Map;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.RecordHeldLimit;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.ReportHeldLimit;

/** Handles the reports of replicas on how much state they can hold. */
final class HeldLimitHandler {
    /** Time without a report after which a VM no longer counts; it may have been exchanged. */
    private static final long FORGET_MILLISECONDS = 600_000;

    private final WorkflowLedger ledger;
    private final PendingReplies<RecordHeldLimit> pending = new PendingReplies<>();
    private final Map<VmId, Long> lastReports = new HashMap<>();

    HeldLimitHandler(WorkflowLedger ledger, long nowMilliseconds) {
        this.ledger = ledger;
        ledger.heldLimits()
                .replicas()
                .forEach(replica -> lastReports.put(replica, nowMilliseconds));
    }

    void report(
            long nowMilliseconds,
            RequestHandle handle,
            ReportHeldLimit report,
            LeaderOutput output) {
        lastReports.put(report.replica(), nowMilliseconds);
        boolean known = ledger.heldLimits().of(report.replica()).orElse(0) == report.bytes();
        RecordHeldLimit record = new RecordHeldLimit(report.replica(), report.bytes());
        if (known) {
            output.reply(handle, new Done());
        } else if (pending.add(record, handle)) {
            output.propose(record);
        }
    }

    void onApplied(RecordHeldLimit record, LeaderOutput output) {
        output.logDecision(
                DecisionLogEntry.of(
                        "held_limit_recorded",
                        "replica",
                        record.replica(),
                        "bytes",
                        record.bytes(),
                        "smallest",
                        ledger.heldLimits().smallest().orElse(0)));
        pending.answer(record, new Done(), output);
    }

    /** Forgets VMs that have not reported for long. */
    void tick(long nowMilliseconds, LeaderOutput output) {
        for (VmId replica : ledger.heldLimits().replicas()) {
            long last = lastReports.computeIfAbsent(replica, unknown -> nowMilliseconds);
            if (nowMilliseconds - last >= FORGET_MILLISECONDS) {
                lastReports.put(replica, nowMilliseconds);
                output.propose(new RecordHeldLimit(replica, 0));
            }
        }
    }
}
