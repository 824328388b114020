package org.marjoramnotch.daemon.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.RackName;
import org.marjoramnotch.model.identifier.TaskAttemptId;
import org.marjoramnotch.model.identifier.TaskId;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.job.TaskEnd;
import org.marjoramnotch.model.job.TaskReport;
import org.marjoramnotch.model.job.TaskUsage;
import org.marjoramnotch.model.job.WorkerDescription;
import org.marjoramnotch.model.job.WorkerOrder;
import org.marjoramnotch.model.message.AnnounceWorker;
import org.marjoramnotch.model.message.RenewWorker;
import org.marjoramnotch.model.message.WorkerRenewed;
import org.marjoramnotch.model.resource.Resources;

/** The routes for announcements and renewals of workers. */
final class WorkerRoutes implements Routes {
    private static final int WORKER_SEGMENT = 2;
    private static final int OK = 200;
    private static final long TIMEOUT_MILLISECONDS = 3_000;

    private final LeaderCalls leaderCalls;
    private final BodyReader bodies;
    private final JsonBodies json;

    WorkerRoutes(LeaderCalls leaderCalls, BodyReader bodies, JsonBodies json) {
        this.leaderCalls = leaderCalls;
        this.bodies = bodies;
        this.json = json;
    }

    @Override
    public Optional<CompletionStage<HttpResponse>> handle(HttpCall call) {
        if (call.matches("PUT", "v1", "workers", "*")) {
            return Optional.of(announce(call, worker(call)));
        }
        if (call.matches("POST", "v1", "workers", "*", "renewals")) {
            return Optional.of(renew(call, worker(call)));
        }
        return Optional.empty();
    }

    private static WorkerId worker(HttpCall call) {
        return new WorkerId(call.segment(WORKER_SEGMENT));
    }

    private CompletionStage<HttpResponse> announce(HttpCall call, WorkerId worker) {
        return bodies.read(call, TIMEOUT_MILLISECONDS)
                .thenApply(body -> json.read(WorkerBody.class, body))
                .thenCompose(
                        body ->
                                leaderCalls.call(
                                        new AnnounceWorker(body.description(worker)),
                                        TIMEOUT_MILLISECONDS,
                                        WorkerRenewed.class,
                                        this::answer));
    }

    private CompletionStage<HttpResponse> renew(HttpCall call, WorkerId worker) {
        return bodies.read(call, TIMEOUT_MILLISECONDS)
                .thenApply(body -> json.read(RenewalBody.class, body).renewal(worker))
                .thenCompose(
                        renewal ->
                                leaderCalls.call(
                                        renewal,
                                        renewal.waitMilliseconds() + TIMEOUT_MILLISECONDS,
                                        WorkerRenewed.class,
                                        this::answer));
    }

    private HttpResponse answer(WorkerRenewed renewed) {
        return json.answer(
                OK,
                new RenewedBody(
                        renewed.epoch(),
                        renewed.leaseMilliseconds(),
                        renewed.orders().stream().map(OrderBody::of).toList()));
    }

    private record RenewedBody(long epoch, long leaseMilliseconds, List<OrderBody> orders) {}

    private record AttemptBody(JobId job, int task, int number) {
        static AttemptBody of(TaskAttemptId attempt) {
            return new AttemptBody(attempt.task().job(), attempt.task().number(), attempt.number());
        }

        TaskAttemptId attempt() {
            return new TaskAttemptId(new TaskId(job, task), number);
        }
    }

    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    private record OrderBody(
            String type,
            AttemptBody attempt,
            Optional<Long> epoch,
            Optional<Long> processorMillis,
            Optional<Long> memoryMegabytes,
            Optional<Long> accelerators,
            Optional<String> payload) {
        static OrderBody of(WorkerOrder order) {
            String type = order.getClass().getSimpleName().toLowerCase(Locale.ROOT);
            AttemptBody attempt = AttemptBody.of(order.attempt());
            Optional<Long> none = Optional.empty();
            if (order instanceof WorkerOrder.Start start) {
                Resources reserved = start.reserved();
                return new OrderBody(
                        type,
                        attempt,
                        Optional.of(start.epoch()),
                        Optional.of(reserved.processorMillis()),
                        Optional.of(reserved.memoryMegabytes()),
                        Optional.of(reserved.accelerators()),
                        Optional.of(start.payload()));
            }
            Optional<Long> processor =
                    order instanceof WorkerOrder.Throttle throttle
                            ? Optional.of(throttle.processorMillis())
                            : none;
            return new OrderBody(type, attempt, none, processor, none, none, Optional.empty());
        }
    }

    private record WorkerBody(
            long processorMillis,
            long memoryMegabytes,
            Optional<Long> accelerators,
            AvailabilityZone zone,
            RackName rack) {
        WorkerDescription description(WorkerId worker) {
            return new WorkerDescription(
                    worker,
                    Resources.ofInput(processorMillis, memoryMegabytes, accelerators.orElse(0L)),
                    zone,
                    rack);
        }
    }

    private record EndBody(AttemptBody attempt, TaskEnd end) {}

    private record UsageBody(
            AttemptBody attempt,
            long processorMillis,
            long memoryMegabytes,
            Optional<Long> accelerators) {
        TaskUsage usage() {
            return new TaskUsage(
                    attempt.attempt(),
                    Resources.ofInput(processorMillis, memoryMegabytes, accelerators.orElse(0L)));
        }
    }

    private record RenewalBody(
            long epoch,
            Optional<Long> waitMilliseconds,
            Optional<List<AttemptBody>> running,
            Optional<List<EndBody>> ended,
            Optional<List<UsageBody>> usage) {
        RenewWorker renewal(WorkerId worker) {
            return new RenewWorker(
                    worker,
                    epoch,
                    WaitTime.limit(waitMilliseconds.orElse(0L)),
                    running.orElse(List.of()).stream().map(AttemptBody::attempt).toList(),
                    ended.orElse(List.of()).stream()
                            .map(end -> new TaskReport(end.attempt().attempt(), end.end()))
                            .toList(),
                    usage.orElse(List.of()).stream().map(UsageBody::usage).toList());
        }
    }
}
