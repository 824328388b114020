package org.marjoramnotch.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.jboss.logging.Logger;
import org.marjoramnotch.daemon.duty.Duty;
import org.marjoramnotch.daemon.entry.Entry;
import org.marjoramnotch.daemon.http.HttpListener;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.daemon.settings.DaemonLimits;
import org.marjoramnotch.model.time.Clock;

/**
 * Stops the components of a process in an order in which no request is interrupted: requests are
 * first served, then refused, and the listeners close once all requests that were read have been
 * answered.
 */
final class DaemonShutdown {
    private static final Logger LOGGER = Logger.getLogger(DaemonShutdown.class);

    /** Time for the load balancer to notice that the process is no longer ready. */
    private static final long READINESS_GRACE_MILLISECONDS = 1_000;

    private static final long POLL_MILLISECONDS = 20;

    private final Clock clock;
    private final DaemonLimits limits;
    private volatile boolean begun;

    DaemonShutdown(Clock clock, DaemonLimits limits) {
        this.clock = clock;
        this.limits = limits;
    }

    /** Returns whether the shutdown has begun. */
    boolean hasBegun() {
        return begun;
    }

    /**
     * Begins the shutdown: the process is no longer ready but still serves requests.
     *
     * @param extensionGraceMilliseconds time that the extension's load balancer needs to notice
     * @param signalledMilliseconds when the process was told to stop
     * @return the time limits of the steps that follow
     */
    StopSchedule begin(
            List<HttpListener> listeners,
            long extensionGraceMilliseconds,
            long signalledMilliseconds) {
        begun = true;
        listeners.forEach(HttpListener::closeAfterAnswers);
        long grace = Math.max(READINESS_GRACE_MILLISECONDS, extensionGraceMilliseconds);
        StopSchedule schedule = StopSchedule.of(signalledMilliseconds, grace, limits);
        LogEvent.of("daemon_stopping")
                .with("milliseconds_left", schedule.endMilliseconds() - clock.nowMilliseconds())
                .info(LOGGER);
        return schedule;
    }

    /** Waits until requests need no longer be served. */
    void serve(StopSchedule schedule) {
        waitUntil(() -> false, schedule.serviceEndMilliseconds());
    }

    /** Hands leadership over and waits for work in flight; all further work is refused. */
    void drain(
            StopSchedule schedule,
            List<HttpListener> listeners,
            Entry entry,
            Optional<ReplicaHost> replica) {
        CompletableFuture<?> handover =
                replica.map(ReplicaHost::prepareStop)
                        .orElseGet(() -> CompletableFuture.completedFuture(null));
        waitUntil(
                () -> {
                    int calls = openCalls(listeners);
                    if (calls == 0) {
                        entry.abandonExpired();
                    }
                    return calls + entry.openWork() == 0 && handover.isDone();
                },
                schedule.answersEndMilliseconds());
        LogEvent.of("daemon_drained")
                .with("open_calls", openCalls(listeners))
                .with("open_work", entry.openWork())
                .info(LOGGER);
    }

    /** Closes the listeners once all requests that they have read are answered. */
    void closeListeners(StopSchedule schedule, List<HttpListener> listeners) {
        listeners.forEach(HttpListener::answerOpenCalls);
        unbind(schedule, listeners);
        listeners.forEach(HttpListener::closeConnections);
        waitUntil(() -> openConnections(listeners) == 0, schedule.connectionsEndMilliseconds());
        LogEvent.of("listeners_closed")
                .with("open_calls", openCalls(listeners))
                .with("open_connections", openConnections(listeners))
                .info(LOGGER);
    }

    /**
     * Unbinds all listeners at once, within half of the time for their connections. The common pool
     * is not used, since it also carries answers.
     */
    private void unbind(StopSchedule schedule, List<HttpListener> listeners) {
        long now = clock.nowMilliseconds();
        long end = now + Math.max(0, schedule.connectionsEndMilliseconds() - now) / 2;
        List<Thread> threads = new ArrayList<>();
        for (HttpListener listener : listeners) {
            Thread thread =
                    new Thread(() -> listener.unbind(end - clock.nowMilliseconds()), "unbind");
            thread.start();
            threads.add(thread);
        }
        try {
            for (Thread thread : threads) {
                thread.join();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops the duties, which handle no input any more. */
    void stopDuties(StopSchedule schedule, List<Duty<?>> duties) {
        duties.forEach(duty -> duty.stop(schedule.endMilliseconds() - clock.nowMilliseconds()));
    }

    private static int openCalls(List<HttpListener> listeners) {
        return listeners.stream().mapToInt(HttpListener::openCalls).sum();
    }

    private static int openConnections(List<HttpListener> listeners) {
        return listeners.stream().mapToInt(HttpListener::openConnections).sum();
    }

    private void waitUntil(BooleanSupplier condition, long until) {
        while (!condition.getAsBoolean() && clock.nowMilliseconds() < until) {
            long pause = Math.min(POLL_MILLISECONDS, until - clock.nowMilliseconds());
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pause));
        }
    }
}
