package org.marjoramnotch.daemon.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.commons.codec.digest.DigestUtils;
import org.marjoramnotch.daemon.duty.CellInput;
import org.marjoramnotch.daemon.duty.DutyInputQueue;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.ApplyRules;
import org.marjoramnotch.model.message.BeginEvacuationRequest;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.FinishEvacuationRequest;
import org.marjoramnotch.model.message.ForgetEndpointRequest;
import org.marjoramnotch.model.message.ReadRules;
import org.marjoramnotch.model.message.ReadStatus;
import org.marjoramnotch.model.message.RulesAnswer;
import org.marjoramnotch.model.message.StatusAnswer;

/** The routes for operators. */
final class OperatorRoutes implements Routes {
    private static final int NAME_SEGMENT = 3;
    private static final int OK = 200;
    private static final long TIMEOUT_MILLISECONDS = 10_000;

    private final String operatorKeySha256;
    private final Optional<DutyInputQueue<CellInput>> replica;
    private final LeaderCalls leaderCalls;
    private final BodyReader bodies;
    private final JsonBodies json;

    OperatorRoutes(
            String operatorKeySha256,
            Optional<DutyInputQueue<CellInput>> replica,
            LeaderCalls leaderCalls,
            BodyReader bodies,
            JsonBodies json) {
        this.operatorKeySha256 = operatorKeySha256;
        this.replica = replica;
        this.leaderCalls = leaderCalls;
        this.bodies = bodies;
        this.json = json;
    }

    @Override
    public Optional<CompletionStage<HttpResponse>> handle(HttpCall call) {
        if (!call.startsWith("v1", "operator")) {
            return Optional.empty();
        }
        requireOperator(call);
        if (call.matches("PUT", "v1", "operator", "rules")) {
            return Optional.of(applyRules(call));
        }
        call.request().body().discard();
        if (call.matches("GET", "v1", "operator", "rules")) {
            return Optional.of(
                    leaderCalls.call(
                            new ReadRules(),
                            TIMEOUT_MILLISECONDS,
                            RulesAnswer.class,
                            rules -> json.answer(OK, rules)));
        }
        if (call.matches("GET", "v1", "operator", "status")) {
            return Optional.of(
                    leaderCalls.call(
                            new ReadStatus(),
                            TIMEOUT_MILLISECONDS,
                            StatusAnswer.class,
                            status -> json.answer(OK, StatusBody.of(status))));
        }
        if (call.matches("POST", "v1", "operator", "form")) {
            return Optional.of(command(CellInput.Form::new));
        }
        if (call.matches("DELETE", "v1", "operator", "replicas", "*")) {
            VmId vm = new VmId(call.segment(NAME_SEGMENT));
            return Optional.of(command(result -> new CellInput.RemoveReplica(vm, result)));
        }
        if (call.matches("DELETE", "v1", "operator", "endpoints", "*")) {
            EndpointId endpoint = new EndpointId(call.segment(NAME_SEGMENT));
            return Optional.of(order(new ForgetEndpointRequest(endpoint)));
        }
        if (call.matches("PUT", "v1", "operator", "evacuations", "*")) {
            return Optional.of(order(new BeginEvacuationRequest(zoneOf(call))));
        }
        if (call.matches("DELETE", "v1", "operator", "evacuations", "*")) {
            return Optional.of(order(new FinishEvacuationRequest(zoneOf(call))));
        }
        return Optional.empty();
    }

    private static AvailabilityZone zoneOf(HttpCall call) {
        return new AvailabilityZone(call.segment(NAME_SEGMENT));
    }

    private CompletionStage<HttpResponse> order(CellRequest order) {
        return leaderCalls.call(
                order, TIMEOUT_MILLISECONDS, Done.class, done -> json.answer(OK, Map.of()));
    }

    private CompletionStage<HttpResponse> applyRules(HttpCall call) {
        return bodies.read(call, TIMEOUT_MILLISECONDS)
                .thenApply(body -> json.read(RulesBody.class, body))
                .thenCompose(
                        body ->
                                leaderCalls.call(
                                        new ApplyRules(
                                                body.requestId(),
                                                body.expectedVersion(),
                                                body.text()),
                                        TIMEOUT_MILLISECONDS,
                                        RulesAnswer.class,
                                        rules ->
                                                json.answer(
                                                        OK, Map.of("version", rules.version()))));
    }

    private CompletionStage<HttpResponse> command(
            Function<CompletableFuture<Done>, CellInput> command) {
        DutyInputQueue<CellInput> input =
                replica.orElseThrow(
                        () ->
                                new MarjoramnotchException(
                                        ErrorCode.NOT_LEADER,
                                        "This process has no replica; send the command to a process"
                                                + " that has one."));
        CompletableFuture<Done> result = new CompletableFuture<>();
        if (!input.offer(command.apply(result))) {
            throw new MarjoramnotchException(
                    ErrorCode.OVERLOADED, "The replica is overloaded; send the command again.");
        }
        return result.thenApply(done -> json.answer(OK, Map.of()));
    }

    private void requireOperator(HttpCall call) {
        String givenSha256 = BearerToken.of(call.request()).map(DigestUtils::sha256Hex).orElse("");
        boolean matches =
                MessageDigest.isEqual(
                        givenSha256.getBytes(StandardCharsets.US_ASCII),
                        operatorKeySha256.getBytes(StandardCharsets.US_ASCII));
        if (!matches) {
            throw new MarjoramnotchException(
                    ErrorCode.KEY_REFUSED,
                    "The operator key is missing or wrong; send it as a bearer token.");
        }
    }

    private record RulesBody(RequestId requestId, long expectedVersion, String text) {}

    private record StatusBody(
            String leader,
            long term,
            long commitIndex,
            long configurationVersion,
            List<String> voters,
            List<String> voterIdentities,
            List<String> learners,
            int endpoints,
            int workers,
            int running) {
        static StatusBody of(StatusAnswer status) {
            return new StatusBody(
                    status.leader().value(),
                    status.term(),
                    status.commitIndex(),
                    status.configurationVersion(),
                    status.voters().stream().map(VmId::value).toList(),
                    status.voterIdentities().stream().map(ReplicaId::toString).toList(),
                    status.learners().stream().map(VmId::value).toList(),
                    status.endpoints(),
                    status.workers(),
                    status.running());
        }
    }
}
