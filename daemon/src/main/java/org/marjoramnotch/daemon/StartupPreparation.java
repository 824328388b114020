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
 * Does the parts of a start that depend on no settings, beside the reading of the settings. After a
 * power failure of all VMs, callers wait for the start of the processes.
 */
public final class StartupPreparation {
    private static final Logger LOGGER = Logger.getLogger(StartupPreparation.class);

    /**
     * With fewer, as on a machine of two cores, the JDK starts a thread for each asynchronous stage
     * of a future, and Pekko HTTP makes each stage of its answers asynchronous.
     */
    private static final int COMMON_POOL_THREADS = 2;

    private static final String COMMON_POOL_PROPERTY =
            "java.util.concurrent.ForkJoinPool.common.parallelism";

    /** Without it Netty walks all network interfaces, and warns where none has an address. */
    private static final String NETTY_MACHINE_PROPERTY = "io.grpc.netty.shaded.io.netty.machineId";

    private static final int MACHINE_ID_BYTES = 8;

    private final long begunMilliseconds = new SystemClock().nowMilliseconds();

    private StartupPreparation() {}

    /** Begins; called first in a process. */
    public static StartupPreparation begin() {
        sizeCommonPool();
        setNettyMachineId();
        StartupPreparation preparation = new StartupPreparation();
        Thread thread = new Thread(StartupPreparation::prepare, "start-preparation");
        thread.setDaemon(true);
        thread.start();
        return preparation;
    }

    /** Returns when the process began, on the steady clock. */
    long begunMilliseconds() {
        return begunMilliseconds;
    }

    private static void sizeCommonPool() {
        if (Runtime.getRuntime().availableProcessors() <= COMMON_POOL_THREADS
                && System.getProperty(COMMON_POOL_PROPERTY) == null) {
            System.setProperty(COMMON_POOL_PROPERTY, Integer.toString(COMMON_POOL_THREADS));
        }
    }

    /** Draws the name that tells Netty's channels of this process from those of others. */
    private static void setNettyMachineId() {
        if (System.getProperty(NETTY_MACHINE_PROPERTY) == null) {
            byte[] name = new byte[MACHINE_ID_BYTES];
            ThreadLocalRandom.current().nextBytes(name);
            System.setProperty(NETTY_MACHINE_PROPERTY, HexFormat.ofDelimiter(":").formatHex(name));
        }
    }

    private static void prepare() {
        ConfigFactory.load();
        useEmptyTlsContext();
    }

    /**
     * Sets a default TLS context without trusted authorities. No link of the daemon uses TLS, yet
     * Pekko HTTP asks for the default context at its first use, and reading the authorities takes
     * about a tenth of a start.
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
