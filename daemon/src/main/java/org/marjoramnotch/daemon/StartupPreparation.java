package org.marjoramnotch.daemon;

import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;
import org.marjoramnotch.daemon.duty.SystemClock;

/**
 * Sets properties of libraries that keep a start short. After a power failure of all VMs, callers
 * wait for the processes to start.
 */
public final class StartupPreparation {
    /**
     * Minimum size of the common pool. With fewer threads, as on a machine with two cores, the JDK
     * starts a thread for each asynchronous stage of a future.
     */
    private static final int COMMON_POOL_THREADS = 2;

    private static final String COMMON_POOL_PROPERTY =
            "java.util.concurrent.ForkJoinPool.common.parallelism";

    /** Without it, Netty examines all network interfaces and warns if none has a MAC address. */
    private static final String NETTY_MACHINE_PROPERTY = "io.netty.machineId";

    private static final int MACHINE_ID_BYTES = 8;

    private final long begunMilliseconds = new SystemClock().nowMilliseconds();

    private StartupPreparation() {}

    /** Begins the preparation; to be called first in a process. */
    public static StartupPreparation begin() {
        sizeCommonPool();
        setNettyMachineId();
        return new StartupPreparation();
    }

    /** Returns when the process was started, as a reading of the monotonic clock. */
    long begunMilliseconds() {
        return begunMilliseconds;
    }

    private static void sizeCommonPool() {
        if (Runtime.getRuntime().availableProcessors() <= COMMON_POOL_THREADS
                && System.getProperty(COMMON_POOL_PROPERTY) == null) {
            System.setProperty(COMMON_POOL_PROPERTY, Integer.toString(COMMON_POOL_THREADS));
        }
    }

    /** Generates the identifier by which Netty distinguishes the channels of this process. */
    private static void setNettyMachineId() {
        if (System.getProperty(NETTY_MACHINE_PROPERTY) == null) {
            byte[] machineId = new byte[MACHINE_ID_BYTES];
            ThreadLocalRandom.current().nextBytes(machineId);
            System.setProperty(
                    NETTY_MACHINE_PROPERTY, HexFormat.ofDelimiter(":").formatHex(machineId));
        }
    }
}
