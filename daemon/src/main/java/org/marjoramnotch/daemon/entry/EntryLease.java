package org.marjoramnotch.daemon.entry;

import java.util.function.Consumer;
import org.marjoramnotch.daemon.link.CellClient;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.EntryRenewed;
import org.marjoramnotch.model.message.RenewEntry;

/**
 * Renews the lease of this entry and closes revoked feeds. Must be used by one thread only, except
 * {@link #holds}.
 */
final class EntryLease {
    private static final long RENEWAL_INTERVAL_MILLISECONDS = 1_000;
    private static final long LEASE_MILLISECONDS = 3_000;

    private final RenewEntry renewal;
    private final CellClient client;
    private final Consumer<EntryEvent> events;
    private final Consumer<AttemptId> revoke;
    private long nextRenewalMilliseconds = Long.MIN_VALUE;
    private volatile long renewedMilliseconds;
    private volatile boolean everRenewed;

    EntryLease(
            VmId vm,
            String incarnation,
            CellClient client,
            Consumer<EntryEvent> events,
            Consumer<AttemptId> revoke) {
        this.renewal = new RenewEntry(vm, incarnation);
        this.client = client;
        this.events = events;
        this.revoke = revoke;
    }

    /** Sends a renewal if one is due. */
    void tick(long nowMilliseconds) {
        if (nowMilliseconds < nextRenewalMilliseconds) {
            return;
        }
        nextRenewalMilliseconds = nowMilliseconds + RENEWAL_INTERVAL_MILLISECONDS;
        client.send(renewal, nowMilliseconds + RENEWAL_INTERVAL_MILLISECONDS)
                .thenAccept(reply -> events.accept(now -> onReply(nowMilliseconds, reply)));
    }

    /** Returns whether the leader has recently renewed the lease. Can be called by any thread. */
    boolean holds(long nowMilliseconds) {
        return everRenewed && nowMilliseconds - renewedMilliseconds < LEASE_MILLISECONDS;
    }

    private void onReply(long sentMilliseconds, CellReply reply) {
        if (reply instanceof EntryRenewed renewed) {
            renewedMilliseconds = Math.max(renewedMilliseconds, sentMilliseconds);
            everRenewed = true;
            renewed.revoked().forEach(revoke);
        }
    }
}
