package org.marjoramnotch.daemon.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.message.CallTarget;
import org.marjoramnotch.model.message.CancelWorkflowRequest;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.QueueAnswer;
import org.marjoramnotch.model.message.ReadWorkflow;
import org.marjoramnotch.model.message.SubmitWorkflowRequest;
import org.marjoramnotch.model.message.WorkflowAnswer;

/** The routes for callers' workflows: submit, read and cancel by queue and name. */
final class WorkflowRoutes implements Routes {
    private static final int QUEUE_SEGMENT = 2;
    private static final int WORKFLOW_SEGMENT = 4;
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final long TIMEOUT_MILLISECONDS = 10_000;

    private final LeaderCalls leaderCalls;
    private final BodyReader bodies;
    private final JsonBodies json;

    WorkflowRoutes(LeaderCalls leaderCalls, BodyReader bodies, JsonBodies json) {
        this.leaderCalls = leaderCalls;
        this.bodies = bodies;
        this.json = json;
    }

    @Override
    public Optional<CompletionStage<HttpResponse>> handle(HttpCall call) {
        if (call.matches("GET", "v1", "queues", "*", "workflows")) {
            return Optional.of(readQueue(call));
        }
        if (!call.startsWith("v1", "queues", "*", "workflows", "*")
                || call.segments().size() > WORKFLOW_SEGMENT + 1) {
            return Optional.empty();
        }
        return switch (call.method()) {
            case "PUT" -> Optional.of(submit(call));
            case "GET" -> Optional.of(read(call));
            case "DELETE" -> Optional.of(cancel(call));
            default -> Optional.empty();
        };
    }

    /** Submits a workflow under a name that the caller chose, so that the caller can resend it. */
    private CompletionStage<HttpResponse> submit(HttpCall call) {
        CallTarget target = targetOf(call, call.segment(WORKFLOW_SEGMENT));
        return bodies.read(call, TIMEOUT_MILLISECONDS)
                .thenApply(body -> json.read(WorkflowBody.class, body).draft())
                .thenCompose(
                        draft ->
                                leaderCalls.call(
                                        new SubmitWorkflowRequest(target, draft),
                                        TIMEOUT_MILLISECONDS,
                                        Done.class,
                                        done -> state(ACCEPTED, call, "accepted")));
    }

    private CompletionStage<HttpResponse> read(HttpCall call) {
        call.request().body().discard();
        return leaderCalls.call(
                new ReadWorkflow(targetOf(call, call.segment(WORKFLOW_SEGMENT))),
                TIMEOUT_MILLISECONDS,
                WorkflowAnswer.class,
                answer -> json.answer(OK, StateBody.of(call.segment(WORKFLOW_SEGMENT), answer)));
    }

    private CompletionStage<HttpResponse> cancel(HttpCall call) {
        call.request().body().discard();
        return leaderCalls.call(
                new CancelWorkflowRequest(targetOf(call, call.segment(WORKFLOW_SEGMENT))),
                TIMEOUT_MILLISECONDS,
                Done.class,
                done -> state(OK, call, "withdrawn"));
    }

    private CompletionStage<HttpResponse> readQueue(HttpCall call) {
        call.request().body().discard();
        return leaderCalls.call(
                new ReadWorkflow(targetOf(call, "")),
                TIMEOUT_MILLISECONDS,
                QueueAnswer.class,
                answer -> json.answer(OK, new QueueBody(answer.pending())));
    }

    private static CallTarget targetOf(HttpCall call, String workflow) {
        QueueName queue = new QueueName(call.segment(QUEUE_SEGMENT));
        if (workflow.isEmpty() && call.segments().size() > WORKFLOW_SEGMENT) {
            throw RefusalAnswers.invalidRequest("The path contains no workflow name; append it.");
        }
        return CallTarget.of(queue, workflow, BearerToken.of(call.request()));
    }

    private HttpResponse state(int status, HttpCall call, String state) {
        return json.answer(
                status, new StateBody(call.segment(WORKFLOW_SEGMENT), state, Optional.empty()));
    }

    private record StateBody(
            String workflow,
            String state,
            @JsonInclude(JsonInclude.Include.NON_ABSENT) Optional<String> reason) {
        static StateBody of(String workflow, WorkflowAnswer answer) {
            String state = answer.state().name().toLowerCase(Locale.ROOT);
            return new StateBody(workflow, state, answer.reason());
        }
    }

    private record QueueBody(int pending) {}
}
