package org.marjoramnotch.commandline.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.error.Refusal;

/** Calls a cell through the first of its daemons that answers. */
public final class OperatorClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(15);

    /** Refusals after which another daemon may still accept the request. */
    private static final Set<ErrorCode> OTHER_DAEMON_MAY_ANSWER =
            EnumSet.of(
                    ErrorCode.NO_LEADER,
                    ErrorCode.NOT_LEADER,
                    ErrorCode.STOPPING,
                    ErrorCode.OVERLOADED,
                    ErrorCode.DEADLINE_EXCEEDED);

    /** Refusals that the leader gives to a request only if no earlier attempt took effect. */
    private static final Set<ErrorCode> VALID_FOR_EARLIER_ATTEMPTS =
            EnumSet.of(
                    ErrorCode.VERSION_CONFLICT,
                    ErrorCode.REQUEST_ID_REUSED,
                    ErrorCode.INVALID_RULES);

    private final List<URI> addresses;
    private final DaemonConnection connection;

    /** Creates a client for the daemons at the addresses, which are tried in this order. */
    public OperatorClient(List<URI> addresses, String operatorKey) {
        this(addresses, operatorKey, ANSWER_TIMEOUT);
    }

    OperatorClient(List<URI> addresses, String operatorKey, Duration answerTimeout) {
        this.addresses = List.copyOf(addresses);
        this.connection = new DaemonConnection(operatorKey, CONNECT_TIMEOUT, answerTimeout);
    }

    /** Returns the addresses. */
    public List<URI> addresses() {
        return addresses;
    }

    /**
     * Returns the answer of the first daemon that has one.
     *
     * @throws UnreachableException if none answered
     * @throws MarjoramnotchException with the refusal of a daemon
     */
    public JsonNode call(OperatorRequest request) {
        List<String> failures = new ArrayList<>();
        boolean mayHaveRun = false;
        for (URI address : addresses) {
            AttemptResult result = connection.send(address, request);
            if (result instanceof AttemptResult.Answered answered) {
                return answered.body();
            }
            if (result instanceof AttemptResult.RefusedByDaemon refused) {
                Refusal refusal = refused.refusal();
                throwUnlessOtherMayAnswer(refusal, mayHaveRun);
                mayHaveRun |= refusal.outcome() != ExecutionOutcome.NOT_RUN;
                failures.add(address + ": " + refusal.code() + ", " + refusal.message());
            }
            if (result instanceof AttemptResult.NoAnswer noAnswer) {
                mayHaveRun |= noAnswer.mayHaveArrived();
                failures.add(address + ": " + noAnswer.reason());
            }
        }
        throw unreachable(failures, mayHaveRun);
    }

    private static void throwUnlessOtherMayAnswer(Refusal refusal, boolean earlierMayHaveRun) {
        if (OTHER_DAEMON_MAY_ANSWER.contains(refusal.code())) {
            return;
        }
        boolean unknown = earlierMayHaveRun && !VALID_FOR_EARLIER_ATTEMPTS.contains(refusal.code());
        ExecutionOutcome outcome = unknown ? ExecutionOutcome.UNKNOWN : refusal.outcome();
        throw new MarjoramnotchException(new Refusal(refusal.code(), outcome, refusal.message()));
    }

    private static UnreachableException unreachable(List<String> failures, boolean mayHaveRun) {
        String tried = "\n  " + String.join("\n  ", failures);
        if (mayHaveRun) {
            return new UnreachableException(
                    new Refusal(
                            ErrorCode.NO_LEADER,
                            ExecutionOutcome.UNKNOWN,
                            "No daemon gave a complete answer; the request may have taken effect."
                                    + " Read the state before you send it again:"
                                    + tried));
        }
        return new UnreachableException(
                Refusal.notRun(
                        ErrorCode.NO_LEADER,
                        "No daemon accepted the request; check the addresses, that the daemons run"
                                + " and that a majority of the replicas reach each other:"
                                + tried));
    }
}
