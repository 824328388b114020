package org.marjoramnotch.daemon.settings;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Receives SIGHUP, which announces that the settings file has changed. Until it is installed, the
 * Java virtual machine ends the process on this signal.
 */
public final class ReloadSignal implements SignalHandler {
    private final Semaphore received = new Semaphore(0);

    private ReloadSignal() {}

    /** Installs the handler; to be called first in a process. */
    public static ReloadSignal install() {
        ReloadSignal handler = new ReloadSignal();
        Signal.handle(new Signal("HUP"), handler);
        return handler;
    }

    @Override
    public void handle(Signal signal) {
        received.release();
    }

    /**
     * Waits for a signal and returns whether one has arrived since the last call. Returns at once
     * if one arrived before this call.
     */
    boolean await(long milliseconds) throws InterruptedException {
        boolean arrived = received.tryAcquire(milliseconds, TimeUnit.MILLISECONDS);
        received.drainPermits();
        return arrived;
    }
}
