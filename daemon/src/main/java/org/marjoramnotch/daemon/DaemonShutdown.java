package org.marjoramnotch.daemon;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.jboss.logging.Logger;
import org.marjoramnotch.daemon.entry.Entry;
import org.marjoramnotch.daemon.http.HttpInterface;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.logic.replication.ReplicationStatus;
import org.marjoramnotch.model.time.Clock;

/** Stops the components of a process in an order in which no request is interrupted. */
final class DaemonShutdown {
    private static final Logger LOGGER = Logger.getLogger(DaemonShutdown.class);

    /** Time for the load balancer to notice that the process is no longer ready. */
    private static final long READINESS_GRACE_MILLISECONDS = 1_000;

    private static final long POLL_MILLISECONDS = 20;
    private static final long ANSWER_TIMEOUT_MILLISECONDS = 1_000;
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

    private final Clock clock;
    private final long maximumDrainMilliseconds;
    private volatile boolean begun;

    DaemonShutdown(Clock clock, long maximumDrainMilliseconds) {
        this.clock = clock;
        this.maximumDrainMilliseconds = maximumDrainMilliseconds;
    }

    /** Returns whether the shutdown has begun. */
    boolean hasBegun() {
        return begun;
    }

    /** Begins the shutdown: the process is no longer ready but still serves requests. */
    void begin() {
        begun = true;
        LogEvent.of("daemon_stopping").info(LOGGER);
    }

    /**
     * Stops accepting work, hands leadership over and waits for work in flight, up to the maximum
     * drain time.
     */
    void drain(HttpInterface http, Entry entry, Optional<ReplicaHost> replica) {
        pause(READINESS_GRACE_MILLISECONDS);
        http.stopAcceptingWork();
        replica.filter(DaemonShutdown::hasOtherVoters).ifPresent(host -> await(host.prepareStop()));
        long end = clock.nowMilliseconds() + maximumDrainMilliseconds;
        while (http.openCalls() + entry.openWork() > 0 && clock.nowMilliseconds() < end) {
            if (http.openCalls() == 0) {
                entry.abandonExpired();
            }
            pause(POLL_MILLISECONDS);
        }
        LogEvent.of("daemon_drained")
                .with("open_calls", http.openCalls())
                .with("open_work", entry.openWork())
                .info(LOGGER);
    }

    /** Closes the listener and the actor system. */
    void close(ServerBinding binding, ActorSystem<Void> system) {
        await(binding.terminate(CLOSE_TIMEOUT));
        system.terminate();
        await(system.getWhenTerminated());
    }

    /**
     * Returns whether another replica can take over leadership. A replica without other voters
     * keeps it, so that the last reports are still handled.
     */
    private static boolean hasOtherVoters(ReplicaHost host) {
        return await(host.status())
                .map(ReplicationStatus::voters)
                .filter(voters -> voters.size() > 1)
                .isPresent();
    }

    private static <T> Optional<T> await(CompletionStage<T> stage) {
        CompletableFuture<T> future = stage.toCompletableFuture();
        try {
            long timeout = ANSWER_TIMEOUT_MILLISECONDS + CLOSE_TIMEOUT.toMillis();
            return Optional.ofNullable(future.get(timeout, TimeUnit.MILLISECONDS));
        } catch (ExecutionException | TimeoutException failure) {
            LogEvent.of("stop_step_failed").with("cause", failure).warn(LOGGER);
            return Optional.empty();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private static void pause(long milliseconds) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(milliseconds));
    }
}
