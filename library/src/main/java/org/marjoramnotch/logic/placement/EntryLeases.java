package org.marjoramnotch.logic.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.configuration.WorkAuthorization;
import org.marjoramnotch.model.endpoint.OpenAttempt;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.EntryRenewed;
import org.marjoramnotch.model.message.RenewEntry;

/**
 * Tracks which entry processes are alive. An attempt is orphaned when the lease of its entry has
 * expired or another process has replaced the entry on its VM. Being orphaned does not by itself
 * release the attempt's slot.
 */
final class EntryLeases {
    private final PlacementContext context;
    private final long termStartMilliseconds;
    private final Map<VmId, EntryProcess> entries = new HashMap<>();

    /** The latest known entry process of a VM. */
    private static final class EntryProcess {
        private final String incarnation;
        private final Set<AttemptId> revoked = new HashSet<>();
        private long renewedMilliseconds;
        private long checkedVersion = -1;

        EntryProcess(String incarnation) {
            this.incarnation = incarnation;
        }
    }

    EntryLeases(PlacementContext context, long termStartMilliseconds) {
        this.context = context;
        this.termStartMilliseconds = termStartMilliseconds;
    }

    /** Returns whether another entry process has since renewed the lease of the attempt's VM. */
    boolean isReplaced(AttemptId attempt) {
        @Nullable EntryProcess entry = entries.get(attempt.entry());
        return entry != null && !entry.incarnation.equals(attempt.incarnation());
    }

    boolean isOrphaned(AttemptId attempt, long nowMilliseconds) {
        @Nullable EntryProcess entry = entries.get(attempt.entry());
        long renewed = entry == null ? termStartMilliseconds : entry.renewedMilliseconds;
        boolean expired = nowMilliseconds - renewed >= context.settings().entryLeaseMilliseconds();
        return expired || isReplaced(attempt);
    }

    EntryRenewed renew(long nowMilliseconds, RenewEntry renewal) {
        @Nullable EntryProcess entry = entries.get(renewal.entry());
        if (entry == null || !entry.incarnation.equals(renewal.incarnation())) {
            entry = new EntryProcess(renewal.incarnation());
            entries.put(renewal.entry(), entry);
        }
        entry.renewedMilliseconds = nowMilliseconds;
        updateRevokedFeeds(renewal.entry(), entry);
        entry.revoked.removeIf(feed -> context.state().attempt(feed).isEmpty());
        return new EntryRenewed(List.copyOf(entry.revoked));
    }

    /** Collects the feeds whose key has been withdrawn; runs once per change of the rules. */
    private void updateRevokedFeeds(VmId vm, EntryProcess entry) {
        long version = context.configuration().version();
        if (entry.checkedVersion == version) {
            return;
        }
        entry.checkedVersion = version;
        entry.revoked.clear();
        for (AttemptId feed : context.state().feeds(vm, entry.incarnation)) {
            if (!isAuthorized(context.state().attempt(feed).orElseThrow())) {
                entry.revoked.add(feed);
            }
        }
    }

    private boolean isAuthorized(OpenAttempt feed) {
        try {
            WorkAuthorization.reauthorize(
                    context.configuration(), feed.queue(), feed.team(), feed.key());
            return true;
        } catch (MarjoramnotchException refused) {
            if (refused.code() == ErrorCode.INVARIANT_VIOLATED) {
                throw refused;
            }
            return false;
        }
    }
}
