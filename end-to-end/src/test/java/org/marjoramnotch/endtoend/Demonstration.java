package org.marjoramnotch.endtoend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Demonstrates a cell of one daemon with stand-in endpoints and a stand-in worker: runs a quick
 * request, a batch job, a gang job and a feed. Exits with 0 if all were answered.
 */
public final class Demonstration {
    private final Cell cell;
    private final String address;

    private Demonstration(Cell cell) {
        this.cell = cell;
        this.address = cell.addresses().get(0);
    }

    /** Starts the cell in a temporary folder and tries each kind of work. */
    public static void main(String[] arguments) throws IOException {
        Path folder = Files.createTempDirectory("marjoramnotch-try");
        try (Cell cell = new Cell(folder, 1, 0);
                StandInEndpoints endpoints =
                        new StandInEndpoints(cell.addresses(), TestRules.SERVICE, 2);
                WorkerProcess worker = new WorkerProcess("worker-1", cell.addresses(), folder)) {
            cell.form(TestRules.TEXT);
            new Demonstration(cell).run();
        }
    }

    private void run() {
        CallerLoad load =
                new CallerLoad(
                        cell.caller(), cell.addresses(), TestRules.ONCE_QUEUE, TestRules.KEY);
        Poll.until("an endpoint is announced", () -> load.call(address, "first").answered());
        show("quick request", () -> load.call(address, "hose 12 checked").answer());
        show("batch job", () -> job(TestRules.BATCH_QUEUE, 3));
        show("gang job", () -> job(TestRules.GANG_QUEUE, 2));
        show("feed", this::feed);
    }

    private String job(String queue, int tasks) {
        JobClient jobs = new JobClient(cell.caller(), TestRules.KEY);
        String job = jobs.submit(address, queue, tasks, "100");
        return jobs.awaitEnd(address, job).toString();
    }

    private String feed() {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(
                        URI.create(address + "/v1/queues/" + TestRules.FEED_QUEUE + "/feed/feed"));
        HttpResponse<String> answer = cell.caller().send(request.GET());
        return answer.body().strip().replace('\n', '|');
    }

    private static void show(String name, java.util.function.Supplier<String> request) {
        long start = System.nanoTime();
        String answer = request.get();
        long milliseconds = (System.nanoTime() - start) / 1_000_000;
        if (answer.isBlank()) {
            throw new UncheckedIOException(new IOException("No answer to the " + name));
        }
        System.out.println(name + ": " + milliseconds + " ms: " + answer);
    }
}
