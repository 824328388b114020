package org.marjoramnotch.daemon;

import com.typesafe.config.ConfigFactory;
import java.security.GeneralSecurityException;
import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManager;
import org.jboss.logging.Logger;
import org.marjoramnotch.daemon.duty.SystemClock;
import org.marjoramnotch.daemon.log.LogEvent;

/**
 * Performs the steps of a start that do not depend on the settings, in parallel with reading the
 * settings. The start time matters: after a power failure of all VMs, callers wait for the
 * processes to start.
 */
public final class StartupPreparation {
    private static final Logger LOGGER = Logger.getLogger(StartupPreparation.class);

    /**
     * Minimum size of the common pool. With fewer threads, as on a machine with two cores, the JDK
     * starts a thread for each asynchronous stage of a future, and Pekko HTTP makes every stage of
     * its responses asynchronous.
     */
    private static final int COMMON_POOL_THREADS = 2;

    private static final String COMMON_POOL_PROPERTY =
            "java.util.concurrent.ForkJoinPool.common.parallelism";

    /** Without it, Netty examines all network interfaces and warns if none has a MAC address. */
    private static final String NETTY_MACHINE_PROPERTY = "io.grpc.netty.shaded.io.netty.machineId";

    private static final int MACHINE_ID_BYTES = 8;

    private final long begunMilliseconds = new SystemClock().nowMilliseconds();

    private StartupPreparation() {}

    /** Begins the preparation; to be called first in a process. */
    public static StartupPreparation begin() {
        sizeCommonPool();
        setNettyMachineId();
        StartupPreparation preparation = new StartupPreparation();
        Thread thread = new Thread(StartupPreparation::prepare, "start-preparation");
        thread.setDaemon(true);
        thread.start();
        return preparation;
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

    private static void prepare() {
        ConfigFactory.load();
        useEmptyTlsContext();
    }

    /**
     * Sets a default TLS context without trusted authorities. The daemon does not use TLS, but
     * Pekko HTTP requests the default context at its first use, and loading the authorities takes
     * about a tenth of the start time.
     */
    private static void useEmptyTlsContext() {
        try {
            SSLContext context = SSLContext.getInstance("TLS");
            context.init(new KeyManager[0], new TrustManager[0], null);
            SSLContext.setDefault(context);
        } catch (GeneralSecurityException failure) {
            LogEvent.of("tls_context_not_set").with("cause", failure.getMessage()).warn(LOGGER);
        }
    }
}
