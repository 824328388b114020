package org.marjoramnotch.endtoend;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/**
 * Measures a cell of three replicas: the latency that it adds to a quick request compared with
 * calling the endpoint directly, the memory of the daemons under load, and the time without service
 * after each kind of loss of the leader.
 */
public final class CellBenchmark {
    private static final int DEFAULT_REQUESTS = 1_500;
    private static final int ROUNDS = 3;
    private static final int LOAD_CALLERS = 64;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final Cell cell;
    private final StandInEndpoints endpoints;
    private final CallerLoad load;

    private CellBenchmark(Cell cell, StandInEndpoints endpoints) {
        this.cell = cell;
        this.endpoints = endpoints;
        this.load =
                new CallerLoad(
                        cell.caller(), cell.addresses(), TestRules.ONCE_QUEUE, TestRules.KEY);
    }

    /** Runs all measurements on one cell; the argument is the number of timed requests. */
    public static void main(String[] arguments) throws IOException {
        int requests = arguments.length > 0 ? Integer.parseInt(arguments[0]) : DEFAULT_REQUESTS;
        Path folder = Files.createTempDirectory("marjoramnotch-bench");
        try (Cell cell = new Cell(folder, 3, 1);
                StandInEndpoints endpoints =
                        new StandInEndpoints(cell.addresses(), TestRules.SERVICE, 2)) {
            cell.form(TestRules.TEXT);
            CellBenchmark bench = new CellBenchmark(cell, endpoints);
            Poll.until("a request is answered", () -> bench.answered("first"));
            bench.compareWithDirectCalls(requests);
            bench.memoryUnderLoad(requests);
            bench.lossOfLeader("killed", DaemonProcess::kill, DaemonProcess::restart);
            bench.lossOfLeader(
                    "frozen", leader -> leader.signal("STOP"), leader -> leader.signal("CONT"));
            bench.lossOfLeader(
                    "planned_stop",
                    leader -> leader.signal("TERM"),
                    leader -> {
                        leader.stop();
                        leader.restart();
                    });
        }
    }

    private void compareWithDirectCalls(int requests) {
        Supplier<Boolean> direct =
                () ->
                        cell.caller().send("POST", endpoints.anyAddress(), "", "x").statusCode()
                                == 200;
        Supplier<Boolean> through = () -> answered("x" + System.nanoTime());
        time(requests, direct);
        time(requests, through);
        Histogram directTimes = time(requests, direct);
        Histogram cellTimes = time(requests, through);
        for (double percentile : new double[] {50, 99}) {
            double directMilliseconds = milliseconds(directTimes, percentile);
            double cellMilliseconds = milliseconds(cellTimes, percentile);
            System.out.printf(
                    "quick_request percentile=%.0f direct_ms=%.2f cell_ms=%.2f ratio=%.1f%n",
                    percentile,
                    directMilliseconds,
                    cellMilliseconds,
                    cellMilliseconds / directMilliseconds);
        }
    }

    /**
     * Sends the given number of requests from many concurrent callers and prints how much memory
     * each daemon uses.
     */
    private void memoryUnderLoad(int requests) throws IOException {
        long start = System.nanoTime();
        List<CallerAnswer> answers =
                load.run(LOAD_CALLERS, Math.max(1, requests / LOAD_CALLERS), () -> {});
        double milliseconds = (System.nanoTime() - start) / NANOSECONDS_PER_MILLISECOND;
        System.out.printf(
                "load callers=%d requests=%d answered=%d milliseconds=%.0f%n",
                LOAD_CALLERS,
                answers.size(),
                answers.stream().filter(CallerAnswer::answered).count(),
                milliseconds);
        for (DaemonProcess daemon : cell.daemons()) {
            System.out.printf(
                    "memory vm=%s resident_kb=%d largest_resident_kb=%d%n",
                    daemon.vm(), daemon.memoryKilobytes("VmRSS"), daemon.memoryKilobytes("VmHWM"));
        }
    }

    private void lossOfLeader(
            String kind, Consumer<DaemonProcess> lose, Consumer<DaemonProcess> restore) {
        for (int round = 0; round < ROUNDS; round++) {
            DaemonProcess leader = cell.leader();
            long start = System.nanoTime();
            lose.accept(leader);
            Poll.until("a request is answered again", () -> answered("y" + System.nanoTime()));
            double milliseconds = (System.nanoTime() - start) / NANOSECONDS_PER_MILLISECOND;
            System.out.printf("leader_%s without_service_ms=%.0f%n", kind, milliseconds);
            restore.accept(leader);
            Poll.until("all live daemons serve", this::allServe);
        }
    }

    private boolean allServe() {
        return cell.daemons().stream()
                .allMatch(
                        daemon ->
                                cell.caller()
                                                .get(daemon.httpAddress() + "/health/ready")
                                                .statusCode()
                                        == 200);
    }

    /** Sends a request through the plain entry, which is never the lost daemon. */
    private boolean answered(String body) {
        String entry = cell.addresses().get(cell.addresses().size() - 1);
        return load.call(entry, body).answered();
    }

    private static Histogram time(int requests, Supplier<Boolean> request) {
        Histogram times = new Histogram(3);
        for (int number = 0; number < requests; number++) {
            long start = System.nanoTime();
            if (request.get()) {
                times.recordValue(System.nanoTime() - start);
            }
        }
        return times;
    }

    private static double milliseconds(Histogram times, double percentile) {
        return times.getValueAtPercentile(percentile) / NANOSECONDS_PER_MILLISECOND;
    }
}
