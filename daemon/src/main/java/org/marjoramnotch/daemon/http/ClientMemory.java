package org.marjoramnotch.daemon.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * The budget for what this process keeps for its clients, in heap and direct memory together: what
 * they have sent, counted as it is kept, and what they have not read. A connection over its own
 * limit is closed. When the process is over its limit, the largest holders are closed until it is
 * not. The last quarter is kept for clients that hold little, as ordinary callers do: above three
 * quarters only those that hold more than {@link #ORDINARY_BYTES} are closed.
 */
final class ClientMemory {
    /** More than a call with a short body and its answer take. */
    static final long ORDINARY_BYTES = 64 * 1024;

    private static final double SHARE_OF_LARGE_HOLDERS = 0.75;

    private final long processBytes;
    private final long connectionBytes;
    private final AtomicLong total = new AtomicLong();
    private final Set<Account> open = ConcurrentHashMap.newKeySet();

    ClientMemory(long processBytes, long connectionBytes) {
        this.processBytes = processBytes;
        this.connectionBytes = connectionBytes;
    }

    /** Returns the part of the budget that clients with large holdings may use. */
    static long shareOfLargeHolders(long processBytes) {
        return (long) (SHARE_OF_LARGE_HOLDERS * processBytes);
    }

    /** Returns the bytes that are kept for all clients. */
    long totalBytes() {
        return total.get();
    }

    /** Returns whether only what ordinary callers keep may still be added. */
    boolean isShort() {
        return total.get() > shareOfLargeHolders(processBytes);
    }

    /**
     * Opens the account of a connection.
     *
     * @param close closes the connection soon; called by any thread
     */
    Account open(Consumer<ClientRefusal> close) {
        Account account = new Account(close);
        open.add(account);
        return account;
    }

    private synchronized void relieve() {
        long closing = 0;
        for (Account account : open) {
            closing += account.closing ? account.kept : 0;
        }
        while (total.get() - closing > shareOfLargeHolders(processBytes)) {
            Account largest = largestHolder();
            boolean full = total.get() - closing > processBytes;
            if (largest == null || !full && largest.kept <= ORDINARY_BYTES) {
                return;
            }
            closing += largest.kept;
            largest.close(ClientRefusal.PROCESS_MEMORY);
        }
    }

    private @Nullable Account largestHolder() {
        Account largest = null;
        for (Account account : open) {
            if (!account.closing
                    && account.kept > 0
                    && (largest == null || account.kept > largest.kept)) {
                largest = account;
            }
        }
        return largest;
    }

    /** What is kept for one connection. It is changed by one thread at a time. */
    final class Account {
        private final Consumer<ClientRefusal> closer;
        private volatile long kept;
        private volatile boolean closing;

        private Account(Consumer<ClientRefusal> closer) {
            this.closer = closer;
        }

        /** Returns the bytes that are kept. */
        long keptBytes() {
            return kept;
        }

        /** Sets the bytes that are kept. */
        void set(long bytes) {
            long change = bytes - kept;
            if (change == 0) {
                return;
            }
            kept = bytes;
            long all = total.addAndGet(change);
            if (change > 0 && bytes > connectionBytes && !closing) {
                close(ClientRefusal.CONNECTION_MEMORY);
            } else if (change > 0 && all > shareOfLargeHolders(processBytes)) {
                relieve();
            }
        }

        /** Ends the choice of this connection for a close; what is kept still counts. */
        void retire() {
            open.remove(this);
        }

        private void close(ClientRefusal reason) {
            closing = true;
            closer.accept(reason);
        }
    }
}
