package org.marjoramnotch.logic.configuration;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.message.CancelJobRequest;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.Credential;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.message.ReadJob;
import org.marjoramnotch.model.message.SubmitJobRequest;

/** Logs the calls that the rules refuse, with the version of the rules that decided. */
public final class AuthorizationLog {
    private static final Set<ErrorCode> CODES =
            EnumSet.of(ErrorCode.UNKNOWN_QUEUE, ErrorCode.KEY_REFUSED, ErrorCode.QUEUE_PRIVATE);

    private AuthorizationLog() {}

    /** Returns whether a refusal depends on the rules or the configuration in force. */
    public static boolean isCausedByConfiguration(ErrorCode code) {
        return CODES.contains(code);
    }

    /** Logs the refusal of a request if the rules are its cause. */
    public static void logRefusal(
            CellRequest request,
            ErrorCode code,
            ConfigurationView configuration,
            LeaderOutput output) {
        if (request instanceof PlaceRequest place) {
            logRefusal(request, code, place.queue(), place.credential(), configuration, output);
        } else if (request instanceof SubmitJobRequest submit) {
            logRefusal(request, code, submit.queue(), submit.credential(), configuration, output);
        } else if (request instanceof CancelJobRequest cancel) {
            logRefusal(request, code, cancel.job(), cancel.credential(), configuration, output);
        } else if (request instanceof ReadJob read) {
            logRefusal(request, code, read.job(), read.credential(), configuration, output);
        }
    }

    private static void logRefusal(
            CellRequest request,
            ErrorCode code,
            Object target,
            Optional<Credential> credential,
            ConfigurationView configuration,
            LeaderOutput output) {
        if (isCausedByConfiguration(code)) {
            output.logDecision(
                    DecisionLogEntry.of(
                                    "call_refused",
                                    "reason",
                                    code,
                                    "call",
                                    request.getClass().getSimpleName(),
                                    "target",
                                    target,
                                    "key",
                                    credential
                                            .map(Credential::key)
                                            .map(KeyId::value)
                                            .<Object>map(KeyFingerprint::new)
                                            .orElse("none"),
                                    "rules_version",
                                    configuration.version())
                            .at(output.position()));
        }
    }
}
