package org.marjoramnotch.logic.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;
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
 * Takes operators' rules and reads them back. A change is answered once it is committed; its
 * resends get the first answer, in flight, and after later changes or a new term.
 */
public final class ConfigurationDuty implements LeaderDuty {
    private static final int MAXIMUM_PENDING_CHANGES = 256;

    private final ConfigurationState state;
    private final Map<RequestId, PendingChange> pendingChanges = new HashMap<>();

    /** Creates the duty on the live configuration of the ledger. */
    public ConfigurationDuty(ConfigurationState state) {
        this.state = state;
    }

    @Override
    public void onRequest(
            long nowMilliseconds, RequestHandle handle, CellRequest request, LeaderOutput output) {
        try {
            if (request instanceof ReadRules) {
                output.reply(handle, new RulesAnswer(state.version(), state.text()));
            } else if (request instanceof ApplyRules apply) {
                applyRules(handle, apply, output);
            } else {
                throw new MarjoramnotchException(
                        ErrorCode.INVALID_REQUEST,
                        "The request is not about rules; report the fault of its routing.");
            }
        } catch (MarjoramnotchException e) {
            if (e.code() == ErrorCode.INVARIANT_VIOLATED) {
                throw e;
            }
            output.reply(handle, new Refused(e.refusal()));
        }
    }

    private void applyRules(RequestHandle handle, ApplyRules apply, LeaderOutput output) {
        String contentSha256 = DigestUtils.sha256Hex(apply.expectedVersion() + "\n" + apply.text());
        PendingChange inFlight = pendingChanges.get(apply.request());
        if (inFlight != null) {
            inFlight.addResend(handle, contentSha256);
            return;
        }
        Optional<AcceptedRequest> first = state.findAcceptedRequest(apply.request(), contentSha256);
        if (first.isPresent()) {
            String text = RuleFormatter.format(RuleParser.parse(apply.text()));
            output.reply(handle, new RulesAnswer(first.get().version(), text));
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
                    "Too many changes of rules wait to be committed; send this one again later.");
        }
        List<RuleLine> wanted = RuleParser.parse(apply.text());
        ConfigurationDifference difference = ConfigurationDifference.between(state, wanted);
        ChangeConfiguration command =
                new ChangeConfiguration(
                        apply.request(),
                        apply.expectedVersion(),
                        difference.removed(),
                        difference.put(),
                        contentSha256);
        pendingChanges.put(
                apply.request(), new PendingChange(command, RuleFormatter.format(wanted), handle));
        output.propose(command);
    }

    @Override
    public void onApplied(
            long nowMilliseconds, Command command, CommandResult result, LeaderOutput output) {
        if (!(command instanceof ChangeConfiguration change)) {
            return;
        }
        PendingChange inFlight = pendingChanges.get(change.request());
        if (inFlight != null && inFlight.matches(change)) {
            pendingChanges.remove(change.request());
            CellReply reply = reply(result, inFlight.canonicalText());
            inFlight.handles().forEach(handle -> output.reply(handle, reply));
        }
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
                "A change of rules had the result of another command; report the fault.");
    }

    @Override
    public void onTick(long nowMilliseconds, LeaderOutput output) {
        // Rules change only on request.
    }
}
