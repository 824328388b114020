package org.marjoramnotch.logic.cell;

import java.util.EnumSet;
import java.util.Set;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.ReadConfiguration;
import org.marjoramnotch.model.message.ReadJob;
import org.marjoramnotch.model.message.ReadRules;
import org.marjoramnotch.model.message.ReadWorkflow;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.ReleaseWorker;

/**
 * Decides which replies a quorum must confirm: those that rest on the committed state alone, which
 * another leader may have changed. All others rest on a commit, or say nothing about the state.
 */
final class ConfirmationRule {
    /** Refusals that the state does not cause, or that are worth repeating in any case. */
    private static final Set<ErrorCode> TRANSIENT_REFUSALS =
            EnumSet.of(
                    ErrorCode.OVERLOADED,
                    ErrorCode.TEAM_AT_LIMIT,
                    ErrorCode.DEADLINE_EXCEEDED,
                    ErrorCode.NO_ENDPOINT,
                    ErrorCode.NO_LEADER,
                    ErrorCode.NOT_LEADER,
                    ErrorCode.STOPPING);

    private ConfirmationRule() {}

    /** Returns whether the answer to a request can come from the state without a commit. */
    static boolean isAnsweredFromState(CellRequest request) {
        return request instanceof ReadRules
                || request instanceof ReadConfiguration
                || request instanceof ReadWorkflow
                || request instanceof ReadJob
                || request instanceof ReleaseWorker;
    }

    /** Returns whether a later state may have removed the reason of a refusal. */
    static boolean isRefusedByState(CellReply reply) {
        return reply instanceof Refused refused
                && !TRANSIENT_REFUSALS.contains(refused.refusal().code());
    }
}
