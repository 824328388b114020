package org.marjoramnotch.logic.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderDuty;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.ChangeConfiguration;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.message.ApplyRules;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.ReadRules;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.RulesAnswer;
import org.marjoramnotch.model.rule.RuleLine;

/**
 * Applies and returns the operators' rules. A change is answered once it is committed. Resends get
 * the answer of the first request, also while it is in flight, after later changes and in a new
 * term.
 */
public final class ConfigurationDuty implements LeaderDuty {
    private static final int MAXIMUM_PENDING_CHANGES = 256;

    private final ConfigurationState state;
    private final Map<RequestId, PendingChange> pendingChanges = new HashMap<>();

    /** Creates the duty for the configuration that the ledger holds and updates. */
    public ConfigurationDuty(ConfigurationState state) {
        this.state = state;
    }

    @Override
    public void onRequest(
            long nowMilliseconds, RequestHandle handle, CellRequest request, LeaderOutput output) {
        try {
            if (request instanceof ReadRules) {
                output.reply(handle, new RulesAnswer(state.version(), state.text()));
                output.logDecision(
                        DecisionLogEntry.of("rules_read", "version", state.version())
                                .at(output.position()));
            } else if (request instanceof ApplyRules apply) {
                applyRules(handle, apply, output);
            } else {
                throw new MarjoramnotchException(
                        ErrorCode.INVALID_REQUEST,
                        "The request is not about rules; report that it was sent to the wrong"
                                + " duty.");
            }
        } catch (MarjoramnotchException e) {
            if (e.code() == ErrorCode.INVARIANT_VIOLATED) {
                throw e;
            }
            if (request instanceof ApplyRules apply) {
                logRefusal(apply.request(), apply.expectedVersion(), e.code(), output);
            }
            output.reply(handle, new Refused(e.refusal()));
        }
    }

    private void applyRules(RequestHandle handle, ApplyRules apply, LeaderOutput output) {
        String contentSha256 = DigestUtils.sha256Hex(apply.expectedVersion() + "\n" + apply.text());
        PendingChange pending = pendingChanges.get(apply.request());
        if (pending != null) {
            pending.addResend(handle, contentSha256);
            return;
        }
        Optional<AcceptedRequest> accepted =
                state.findAcceptedRequest(apply.request(), contentSha256);
        if (accepted.isPresent()) {
            String text = RuleFormatter.format(RuleParser.parse(apply.text()));
            output.reply(handle, new RulesAnswer(accepted.get().version(), text));
            return;
        }
        state.checkVersion(apply.expectedVersion());
        propose(handle, apply, contentSha256, output);
    }

    private void propose(
            RequestHandle handle, ApplyRules apply, String contentSha256, LeaderOutput output) {
        if (pendingChanges.size() >= MAXIMUM_PENDING_CHANGES) {
            throw new MarjoramnotchException(
                    ErrorCode.OVERLOADED,
                    "Too many rule changes are waiting to be committed; send this one again"
                            + " later.");
        }
        List<RuleLine> requested = RuleParser.parse(apply.text());
        ConfigurationDifference difference = ConfigurationDifference.between(state, requested);
        ChangeConfiguration command =
                new ChangeConfiguration(
                        apply.request(),
                        apply.expectedVersion(),
                        difference.removed(),
                        difference.put(),
                        contentSha256);
        pendingChanges.put(
                apply.request(),
                new PendingChange(command, RuleFormatter.format(requested), handle));
        output.propose(command);
    }

    @Override
    public void onApplied(
            long nowMilliseconds, Command command, CommandResult result, LeaderOutput output) {
        if (!(command instanceof ChangeConfiguration change)) {
            return;
        }
        logResult(change, result, output);
        PendingChange pending = pendingChanges.get(change.request());
        if (pending != null && pending.matches(change)) {
            pendingChanges.remove(change.request());
            CellReply reply = reply(result, pending.canonicalText());
            pending.handles().forEach(handle -> output.reply(handle, reply));
        }
    }

    private void logResult(ChangeConfiguration change, CommandResult result, LeaderOutput output) {
        if (result instanceof CommandResult.Rejected rejected) {
            ErrorCode code = rejected.refusal().code();
            logRefusal(change.request(), change.expectedVersion(), code, output);
        } else if (result instanceof CommandResult.ConfigurationAccepted accepted) {
            output.logDecision(
                    DecisionLogEntry.of(
                                    "rules_in_force",
                                    "version",
                                    accepted.version(),
                                    "in_force",
                                    state.version(),
                                    "request",
                                    change.request())
                            .at(output.position()));
        }
    }

    private void logRefusal(
            RequestId request, long expectedVersion, ErrorCode code, LeaderOutput output) {
        output.logDecision(
                DecisionLogEntry.of(
                                "rules_refused",
                                "reason",
                                code,
                                "request",
                                request,
                                "expected_version",
                                expectedVersion,
                                "in_force",
                                state.version())
                        .at(output.position()));
    }

    private static CellReply reply(CommandResult result, String text) {
        if (result instanceof CommandResult.ConfigurationAccepted accepted) {
            return new RulesAnswer(accepted.version(), text);
        }
        if (result instanceof CommandResult.Rejected rejected) {
            return new Refused(rejected.refusal());
        }
        throw new MarjoramnotchException(
                ErrorCode.INVARIANT_VIOLATED,
                "A rule change returned the result of another command; report the fault.");
    }

    @Override
    public void onTick(long nowMilliseconds, LeaderOutput output) {
        // Rules change only on request.
    }
}
