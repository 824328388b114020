package org.marjoramnotch.daemon.http;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.apache.pekko.actor.ActorSystem;
import org.marjoramnotch.daemon.duty.CellInput;
import org.marjoramnotch.daemon.duty.DutyInputQueue;
import org.marjoramnotch.daemon.entry.Entry;
import org.marjoramnotch.daemon.link.CellClient;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.daemon.settings.DaemonSettings;
import org.marjoramnotch.model.time.Clock;

/** Puts the HTTP interfaces of a process together. */
public final class HttpInterfaceBuilder {
    /** Request bodies may fill one of so many parts of the heap. */
    private static final int BODY_HEAP_DIVISOR = 4;

    private final ActorSystem system;
    private final DaemonSettings settings;
    private final Clock clock;
    private final DaemonMetrics metrics;
    private Optional<DutyInputQueue<CellInput>> replica = Optional.empty();
    private BooleanSupplier ready = () -> true;

    /** Starts with what every process has. */
    public HttpInterfaceBuilder(
            ActorSystem system, DaemonSettings settings, Clock clock, DaemonMetrics metrics) {
        this.system = system;
        this.settings = settings;
        this.clock = clock;
        this.metrics = metrics;
    }

    /** Sets the replica of the process that takes operators' commands. */
    public HttpInterfaceBuilder replica(Optional<DutyInputQueue<CellInput>> input) {
        replica = input;
        return this;
    }

    /** Sets what tells the balancer whether the process takes work. */
    public HttpInterfaceBuilder ready(BooleanSupplier supplier) {
        ready = supplier;
        return this;
    }

    /** Returns the interfaces over an entry and a client of the cell. */
    public HttpInterface build(Entry entry, CellClient client, String operatorKeySha256) {
        JsonBodies json = new JsonBodies();
        RefusalAnswers refusals = new RefusalAnswers(json, metrics);
        BodyReader bodies = new BodyReader(system, settings.limits().maximumBodyBytes());
        BodyMemoryBudget budget =
                new BodyMemoryBudget(Runtime.getRuntime().maxMemory() / BODY_HEAP_DIVISOR);
        LeaderCalls cell = new LeaderCalls(client, clock, refusals);
        return new HttpInterface(
                system,
                clock,
                new HealthRoutes(ready),
                List.of(
                        new MetricsRoutes(replica, metrics, system.dispatcher()),
                        new QuickRoutes(
                                settings.availabilityZone(), entry, bodies, budget, refusals),
                        new EndpointRoutes(cell, bodies, json),
                        new WorkerRoutes(cell, bodies, json),
                        new JobRoutes(cell, bodies, json),
                        new WorkflowRoutes(cell, bodies, json),
                        new OperatorRoutes(operatorKeySha256, replica, cell, bodies, json)),
                refusals);
    }
}
