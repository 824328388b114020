package org.marjoramnotch.daemon;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.marjoramnotch.daemon.duty.FatalErrorHandler;
import org.marjoramnotch.daemon.duty.SystemClock;
import org.marjoramnotch.daemon.log.ProcessOutput;
import org.marjoramnotch.daemon.settings.DaemonLimits;
import org.marjoramnotch.daemon.settings.DaemonSettings;
import org.marjoramnotch.daemon.settings.SettingsWatcher;

/** Runs a process until a signal stops it, or for the time of some work. */
public final class DaemonRunner {
    /** Part of the grace of a stop in which a start may finish. */
    private static final double START_SHARE = 0.4;

    private static final int MILLISECONDS_PER_SECOND = 1_000;

    /** Time for the last log lines, which their reader may not take. */
    private static final long DRAIN_MILLISECONDS = 500;

    private DaemonRunner() {}

    /** Runs a process whose settings do not change. */
    public static void run(DaemonSettings settings) {
        run(settings, DaemonExtension.NONE, Optional.empty(), StartupPreparation.begin());
    }

    /**
     * Runs a process with an extension.
     *
     * @param watcher the watcher of the settings file, if changes of it are to be applied
     * @param preparation the preparation that was begun when the process started
     */
    public static void run(
            DaemonSettings settings,
            DaemonExtension extension,
            Optional<SettingsWatcher> watcher,
            StartupPreparation preparation) {
        ProcessOutput.install();
        Thread.setDefaultUncaughtExceptionHandler(new FatalErrorHandler());
        CompletableFuture<Daemon> started = new CompletableFuture<>();
        // The hook comes before the start, since a listener may accept requests during it.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> stop(started, settings.limits()), "stop"));
        Daemon daemon = start(started, settings, extension, preparation);
        watcher.ifPresent(changes -> changes.start(daemon::applySettings));
        System.out.println(
                "event=daemon_started vm="
                        + settings.vm()
                        + " http="
                        + DaemonAddresses.text(daemon.addresses().http())
                        + " link="
                        + daemon.addresses().link().map(DaemonAddresses::text).orElse("none"));
        daemon.awaitStop();
    }

    /** Runs a process with an extension until the given work returns or fails. */
    static void runFor(DaemonSettings settings, DaemonExtension extension, Runnable work) {
        long begun = new SystemClock().nowMilliseconds();
        Daemon daemon = Daemon.startConfigured(settings, extension, begun);
        try {
            work.run();
        } finally {
            daemon.stop();
        }
    }

    private static Daemon start(
            CompletableFuture<Daemon> started,
            DaemonSettings settings,
            DaemonExtension extension,
            StartupPreparation preparation) {
        try {
            Daemon daemon =
                    Daemon.startConfigured(settings, extension, preparation.begunMilliseconds());
            started.complete(daemon);
            return daemon;
        } catch (RuntimeException | Error failure) {
            started.completeExceptionally(failure);
            throw failure;
        }
    }

    private static void stop(CompletableFuture<Daemon> started, DaemonLimits limits) {
        long signalled = new SystemClock().nowMilliseconds();
        try {
            double timeout = START_SHARE * limits.graceSeconds() * MILLISECONDS_PER_SECOND;
            started.get((long) timeout, TimeUnit.MILLISECONDS).stop(signalled);
        } catch (TimeoutException late) {
            System.out.println("event=start_abandoned");
        } catch (ExecutionException failed) {
            // The failure was reported by the caller of run.
            return;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            ProcessOutput.drain(DRAIN_MILLISECONDS);
        }
    }
}
