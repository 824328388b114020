package org.marjoramnotch.daemon.http;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.marjoramnotch.daemon.duty.CellInput;
import org.marjoramnotch.daemon.duty.DutyInputQueue;
import org.marjoramnotch.daemon.entry.Entry;
import org.marjoramnotch.daemon.link.CellClient;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.daemon.settings.DaemonSettings;
import org.marjoramnotch.daemon.transport.NetworkThreads;
import org.marjoramnotch.model.time.Clock;

/** Builds the HTTP interface of a process. */
public final class HttpInterfaceBuilder {
    /** The limit for all request bodies is the maximum heap size divided by this number. */
    private static final int BODY_HEAP_DIVISOR = 4;

    private final NetworkThreads threads;
    private final DaemonSettings settings;
    private final Clock clock;
    private final DaemonMetrics metrics;
    private final ClientGuard clients;
    private Optional<DutyInputQueue<CellInput>> replica = Optional.empty();
    private BooleanSupplier ready = () -> true;

    /** Creates a builder with the components that every process has. */
    public HttpInterfaceBuilder(
            NetworkThreads threads,
            DaemonSettings settings,
            Clock clock,
            DaemonMetrics metrics,
            ClientGuard clients) {
        this.threads = threads;
        this.settings = settings;
        this.clock = clock;
        this.metrics = metrics;
        this.clients = clients;
    }

    /** Sets the input of the process's replica, which handles operators' commands. */
    public HttpInterfaceBuilder replica(Optional<DutyInputQueue<CellInput>> input) {
        replica = input;
        return this;
    }

    /** Sets the readiness check that tells the load balancer whether the process accepts work. */
    public HttpInterfaceBuilder ready(BooleanSupplier supplier) {
        ready = supplier;
        return this;
    }

    /** Builds the interface for an entry and a client of the cell. */
    public HttpInterface build(Entry entry, CellClient client, String operatorKeySha256) {
        JsonBodies json = new JsonBodies();
        RefusalAnswers refusals = new RefusalAnswers(json, metrics);
        BodyReader bodies = new BodyReader(settings.limits().maximumBodyBytes());
        BodyMemoryBudget budget =
                new BodyMemoryBudget(Runtime.getRuntime().maxMemory() / BODY_HEAP_DIVISOR);
        LeaderCalls leaderCalls = new LeaderCalls(client, clock, refusals);
        return new HttpInterface(
                threads,
                clock,
                new HealthRoutes(ready),
                List.of(
                        new MetricsRoutes(replica, metrics, threads.executor()),
                        new QuickRoutes(
                                settings.availabilityZone(), entry, bodies, budget, refusals),
                        new EndpointRoutes(leaderCalls, bodies, json),
                        new WorkerRoutes(leaderCalls, bodies, json),
                        new JobRoutes(leaderCalls, bodies, json),
                        new WorkflowRoutes(leaderCalls, bodies, json),
                        new OperatorRoutes(operatorKeySha256, replica, leaderCalls, bodies, json)),
                refusals,
                clients);
    }
}
