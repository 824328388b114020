package org.marjoramnotch.logic.workflow;

import java.util.Optional;
import java.util.OptionalLong;
import org.marjoramnotch.logic.configuration.AuthorizationLog;
import org.marjoramnotch.logic.configuration.KeyFingerprint;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.CallTarget;
import org.marjoramnotch.model.message.CancelWorkflowRequest;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.ReadWorkflow;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.time.Clock;
import org.marjoramnotch.model.workflow.Workflow;

/**
 * Logs the decisions that depend on the version of the configuration, each with this version, its
 * age, and the position of the log at which the leader decided.
 */
final class ConfigurationLog {
    private static final int MAXIMUM_TEXT_LENGTH = 200;
    private static final String NONE = "none";

    private final WorkflowLedger ledger;
    private final Clock wallClock;
    private final ConfigurationMetricsListener metricsListener;

    ConfigurationLog(
            WorkflowLedger ledger, Clock wallClock, ConfigurationMetricsListener metricsListener) {
        this.ledger = ledger;
        this.wallClock = wallClock;
        this.metricsListener = metricsListener;
    }

    void logInForce(long version, LeaderOutput output) {
        write(
                DecisionLogEntry.of(
                        "configuration_in_force", "version", version, "in_force", inForce()),
                output);
    }

    void logOutdated(long version, LeaderOutput output) {
        write(
                DecisionLogEntry.of(
                        "configuration_outdated", "version", version, "in_force", inForce()),
                output);
    }

    void logRead(LeaderOutput output) {
        write(DecisionLogEntry.of("configuration_read", "version", inForce()), output);
    }

    /** Logs the refusal of a request if its cause is a configuration. */
    void logRefusal(CellRequest request, MarjoramnotchException refusal, LeaderOutput output) {
        if (request instanceof ApplyConfiguration apply) {
            write(
                    DecisionLogEntry.of(
                            "configuration_refused",
                            "version",
                            apply.configuration().version(),
                            "reason",
                            refusal.code(),
                            "detail",
                            shorten(refusal.refusal().message()),
                            "in_force",
                            inForce()),
                    output);
        } else if (AuthorizationLog.isCausedByConfiguration(refusal.code())) {
            String call = request.getClass().getSimpleName();
            targetOf(request)
                    .ifPresent(target -> logRefusedCall(call, target, refusal.code(), output));
        }
    }

    /** Logs the refusal of a submission that was valid until its command was applied. */
    void logRefusal(Workflow workflow, ErrorCode code, LeaderOutput output) {
        logRefusedCall(
                SubmitWorkflowRequest.class.getSimpleName(),
                CallTarget.of(workflow.queue(), workflow.id().value(), Optional.empty()),
                code,
                output);
    }

    private void logRefusedCall(
            String call, CallTarget target, ErrorCode code, LeaderOutput output) {
        OptionalLong age = age();
        age.ifPresent(milliseconds -> metricsListener.onCallRefused(code, milliseconds));
        write(
                DecisionLogEntry.of(
                        "call_refused",
                        "reason",
                        code,
                        "call",
                        call,
                        "workflow",
                        shorten(target.path().substring(target.path().lastIndexOf('/') + 1)),
                        "queue",
                        target.queue().map(QueueName::value).orElse(NONE),
                        "host",
                        shorten(target.host()),
                        "path",
                        shorten(target.path()),
                        "key",
                        target.key().<Object>map(KeyFingerprint::new).orElse(NONE),
                        "version",
                        inForce()),
                output);
    }

    private static Optional<CallTarget> targetOf(CellRequest request) {
        if (request instanceof SubmitWorkflowRequest submit) {
            return Optional.of(submit.target());
        }
        if (request instanceof ReadWorkflow read) {
            return Optional.of(read.target());
        }
        return request instanceof CancelWorkflowRequest cancel
                ? Optional.of(cancel.target())
                : Optional.empty();
    }

    private void write(DecisionLogEntry entry, LeaderOutput output) {
        OptionalLong age = age();
        output.logDecision(
                entry.with("age_ms", age.isPresent() ? age.getAsLong() : "unknown")
                        .at(output.position()));
    }

    private Object inForce() {
        return ledger.configuration().<Object>map(FleetConfiguration::version).orElse(NONE);
    }

    /** Returns the time since a leader proposed the configuration in force; both clocks may err. */
    private OptionalLong age() {
        OptionalLong proposed = ledger.configurationProposedEpochMilliseconds();
        return proposed.isPresent()
                ? OptionalLong.of(Math.max(0, wallClock.nowMilliseconds() - proposed.getAsLong()))
                : OptionalLong.empty();
    }

    private static String shorten(String text) {
        return text.substring(0, Math.min(text.length(), MAXIMUM_TEXT_LENGTH));
    }
}
