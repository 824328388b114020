package org.marjoramnotch.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ForkJoinWorkerThread;
import org.junit.jupiter.api.Test;

class StartupPreparationTest {
    /** Fails on a machine with one or two cores if each asynchronous stage gets its own thread. */
    @Test
    void asynchronousStagesShareThreads() {
        StartupPreparation.begin();
        Thread thread = CompletableFuture.supplyAsync(Thread::currentThread).join();
        assertThat(thread).isInstanceOf(ForkJoinWorkerThread.class);
    }
}
