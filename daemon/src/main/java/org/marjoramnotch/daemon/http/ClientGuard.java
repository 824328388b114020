package org.marjoramnotch.daemon.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.daemon.log.LogEvent;
import org.marjoramnotch.daemon.log.LogRateLimiter;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.model.time.Clock;

/** Applies the limits of clients to all listeners of a process, and reports what they refuse. */
public final class ClientGuard {
    private static final Logger LOGGER = Logger.getLogger(ClientGuard.class);
    private static final long LOG_INTERVAL_MILLISECONDS = 1_000;

    private final ClientLimits limits;
    private final ClientMemory memory;
    private final DaemonMetrics metrics;
    private final Map<ClientRefusal, LogRateLimiter> lines = new EnumMap<>(ClientRefusal.class);
    private final Map<InetAddress, Integer> connections = new ConcurrentHashMap<>();

    /** Creates the guard of a process. */
    public ClientGuard(ClientLimits limits, DaemonMetrics metrics, Clock clock) {
        this.limits = limits;
        this.memory = new ClientMemory(limits.processBytes(), limits.connectionBytes());
        this.metrics = metrics;
        for (ClientRefusal reason : ClientRefusal.values()) {
            lines.put(reason, new LogRateLimiter(clock, LOG_INTERVAL_MILLISECONDS));
        }
    }

    ClientLimits limits() {
        return limits;
    }

    ClientMemory memory() {
        return memory;
    }

    /** Counts a connection of an address; returns false if the address has too many. */
    boolean admit(InetAddress address) {
        int limit = limits.connectionsPerAddress();
        return limit == 0 || connections.merge(address, 1, Integer::sum) <= limit;
    }

    /** Forgets a connection that was counted. */
    void onEnded(InetAddress address) {
        if (limits.connectionsPerAddress() > 0) {
            connections.computeIfPresent(address, (key, count) -> count > 1 ? count - 1 : null);
        }
    }

    /** Counts a refusal, and logs the first one of its kind in a second. */
    void report(ClientRefusal reason, @Nullable InetSocketAddress client, long keptBytes) {
        metrics.countClientRefusal(reason.label());
        LogRateLimiter line = lines.get(reason);
        if (line != null) {
            line.tryAcquire()
                    .ifPresent(
                            suppressed ->
                                    LogEvent.of("client_refused")
                                            .with("reason", reason.label())
                                            .with("client", String.valueOf(client))
                                            .with("kept_bytes", keptBytes)
                                            .with("process_kept_bytes", memory.totalBytes())
                                            .with("suppressed", suppressed)
                                            .warn(LOGGER));
        }
    }
}
