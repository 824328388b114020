package org.marjoramnotch.daemon.http;

import io.netty.util.internal.PlatformDependent;
import org.marjoramnotch.daemon.settings.DaemonLimits;

/**
 * What the clients of a process may make it keep.
 *
 * @param processBytes the memory kept for all clients together
 * @param connectionBytes the memory kept for one connection
 * @param headerLines the lines of a head, and of the trailers of a body
 * @param emptyLines the empty lines before a request
 * @param headMilliseconds the time from the first byte of a head to its end
 * @param connectionsPerAddress the connections of one address; 0 for any number
 */
public record ClientLimits(
        long processBytes,
        long connectionBytes,
        int headerLines,
        int emptyLines,
        long headMilliseconds,
        int connectionsPerAddress) {
    /**
     * Part of the smaller of heap and direct memory that is kept for clients. Of a heap of 64 MB it
     * is 24 MB, of which a body of 8 MiB, which is copied once, takes 16.
     */
    private static final double MEMORY_SHARE = 0.375;

    /** Returns the limits that the settings name, with the default sizes of this process. */
    public static ClientLimits of(DaemonLimits limits) {
        long memory =
                Math.min(Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory());
        long process =
                limits.clientMemoryBytes() > 0
                        ? limits.clientMemoryBytes()
                        : (long) (MEMORY_SHARE * memory);
        long connection =
                limits.connectionMemoryBytes() > 0
                        ? limits.connectionMemoryBytes()
                        : ClientMemory.shareOfLargeHolders(process);
        return new ClientLimits(
                process,
                connection,
                limits.maximumHeaderLines(),
                limits.maximumEmptyLines(),
                limits.headTimeoutMilliseconds(),
                limits.connectionsPerAddress());
    }
}
