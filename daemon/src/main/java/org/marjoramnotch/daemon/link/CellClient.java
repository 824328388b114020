package org.marjoramnotch.daemon.link;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jboss.logging.Logger;
import org.marjoramnotch.daemon.duty.DutyInputQueue;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.time.Clock;

/** Sends requests to the current leader of the cell, and resends them until their deadlines. */
public final class CellClient {
    private static final Logger LOGGER = Logger.getLogger(CellClient.class);

    private final DutyInputQueue<ClientInput> input;
    private final Clock clock;
    private final DaemonMetrics metrics;

    /** Creates a client that passes requests to the duty that reads the input. */
    CellClient(DutyInputQueue<ClientInput> input, Clock clock, DaemonMetrics metrics) {
        this.input = input;
        this.clock = clock;
        this.metrics = metrics;
    }

    /**
     * Sends a request; it is resent unchanged when a link or leader is lost.
     *
     * @param deadlineMilliseconds time of the process's clock until which a reply is awaited
     * @return the leader's reply, never {@code NotLeader}; a refusal with {@code NO_LEADER} at the
     *     deadline or with {@code OVERLOADED} if too many requests wait
     */
    public CompletionStage<CellReply> send(CellRequest request, long deadlineMilliseconds) {
        long sentAt = clock.nowMilliseconds();
        CompletableFuture<CellReply> result = new CompletableFuture<>();
        result.thenAccept(
                reply ->
                        metrics.recordCellRequest(
                                request, reply, clock.nowMilliseconds() - sentAt));
        if (!input.offer(new ClientInput.Submit(request, deadlineMilliseconds, result))) {
            result.complete(overloaded());
        }
        return result;
    }

    /** Adds replicas to which requests may be sent. */
    public void addReplicas(List<VmId> replicas) {
        if (!input.offer(new ClientInput.AddReplicas(replicas))) {
            LogEvent.of("replicas_not_added").with("replicas", replicas).warn(LOGGER);
        }
    }

    /**
     * Handles a reply from a replica; returns false if it was dropped because the input is full.
     */
    boolean onReply(VmId from, long correlation, CellReply reply) {
        return input.offer(new ClientInput.Reply(from, correlation, reply));
    }

    /**
     * Resends the requests of a lost link to other replicas; returns false if the input is full, in
     * which case they are resent after their timeouts.
     */
    boolean onLinkLost(VmId replica) {
        return input.offer(new ClientInput.LinkLost(replica));
    }

    static Refused overloaded() {
        return new Refused(
                Refusal.notRun(
                        ErrorCode.OVERLOADED,
                        "Too many requests wait for the leader; retry after a pause."));
    }
}
