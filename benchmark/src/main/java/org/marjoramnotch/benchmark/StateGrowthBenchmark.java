package org.marjoramnotch.benchmark;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.logic.ledger.LedgerSnapshot;
import org.marjoramnotch.model.command.ChangeConfiguration;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.wire.CborCodec;
import org.marjoramnotch.wire.CborMapper;

/**
 * Measures the growth per item of each kind of state, calculated from a small and a large ledger:
 * the bytes of commands, snapshots and heap, and the times to apply, write and restore the state.
 */
public final class StateGrowthBenchmark {
    private static final int SMALL = 2_000;
    private static final int LARGE = 10_000;
    private static final int WARM_UP_ROUNDS = 3;
    private static final double NANOSECONDS_PER_MICROSECOND = 1_000;

    private static final CborCodec CODEC = new CborCodec(new CborMapper());

    private StateGrowthBenchmark() {}

    /** Prints one line for each kind of state. */
    public static void main(String[] arguments) {
        System.out.println(
                "kind command_bytes snapshot_bytes heap_bytes apply_us write_us restore_us");
        printGrowth("team_with_key", number -> List.of(ExampleCommands.teamWithKey(number)));
        printGrowth("worker", number -> List.of(ExampleCommands.worker(number)));
        printGrowth("endpoint", number -> List.of(ExampleCommands.endpoint(number)));
        printGrowth("running_task", ExampleCommands::runningTask);
        printGrowth("queued_task", number -> List.of(ExampleCommands.job(number)));
        printGrowth("ended_task", ExampleCommands::endedTask);
        printGrowth("open_attempt", number -> List.of(ExampleCommands.attempt(number, true)));
        printGrowth("ended_attempt_with_claim", ExampleCommands::endedAttempt);
        printGrowth("workflow_1000_times_2x10_tasks", ExampleWorkflows::timed);
        printGrowth("workflow_of_1_task", ExampleWorkflows::ofOneTask);
        printGrowth("workflow_of_100_tasks", ExampleWorkflows::ofManyTasks);
        printGrowth("workflow_running_1_task", ExampleWorkflows::runningOneTask);
        printGrowth("workflow_ended", ExampleWorkflows::ended);
    }

    private static void printGrowth(String kind, IntFunction<List<Command>> commands) {
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            measure(SMALL, commands);
        }
        Measurement small = measure(SMALL, commands);
        Measurement large = measure(LARGE, commands);
        double count = LARGE - SMALL;
        System.out.printf(
                "%s %.0f %.0f %.0f %.2f %.2f %.2f%n",
                kind,
                (large.commandBytes - small.commandBytes) / count,
                (large.snapshotBytes - small.snapshotBytes) / count,
                (large.heapBytes - small.heapBytes) / count,
                (large.applyNanoseconds - small.applyNanoseconds)
                        / count
                        / NANOSECONDS_PER_MICROSECOND,
                (large.writeNanoseconds - small.writeNanoseconds)
                        / count
                        / NANOSECONDS_PER_MICROSECOND,
                (large.restoreNanoseconds - small.restoreNanoseconds)
                        / count
                        / NANOSECONDS_PER_MICROSECOND);
    }

    private static Measurement measure(int count, IntFunction<List<Command>> commands) {
        List<byte[]> encoded = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            commands.apply(number).forEach(command -> encoded.add(CODEC.encode(command)));
        }
        long commandBytes = encoded.stream().mapToLong(bytes -> bytes.length).sum();
        Ledger ledger = prepared();
        long heapBefore = usedHeapBytes();
        long applyStart = System.nanoTime();
        encoded.forEach(bytes -> apply(ledger, CODEC.decode(bytes)));
        long applyEnd = System.nanoTime();
        long heapAfter = usedHeapBytes();
        Reference.reachabilityFence(encoded);
        long writeStart = System.nanoTime();
        byte[] state = CODEC.encodeSnapshot(ledger.snapshot());
        long writeEnd = System.nanoTime();
        LedgerSnapshot snapshot = CODEC.decodeSnapshot(state);
        Ledger restored = Ledger.restore(snapshot);
        long restoreEnd = System.nanoTime();
        Invariant.check(
                restored.runningCount() == ledger.runningCount(), "A restored ledger differs");
        return new Measurement(
                commandBytes,
                state.length,
                heapAfter - heapBefore,
                applyEnd - applyStart,
                writeEnd - writeStart,
                restoreEnd - writeEnd);
    }

    private static Ledger prepared() {
        Ledger ledger = new Ledger();
        List<RuleLine> rules = ExampleCommands.rules();
        apply(ledger, new ChangeConfiguration(new RequestId("rules"), 0, List.of(), rules));
        ExampleCommands.fleet().forEach(command -> apply(ledger, command));
        ExampleWorkflows.fleet().forEach(command -> apply(ledger, command));
        return ledger;
    }

    private static void apply(Ledger ledger, Command command) {
        CommandResult result = ledger.apply(command);
        if (result instanceof CommandResult.Rejected rejected) {
            throw new IllegalStateException(rejected.refusal().toString());
        }
    }

    private static long usedHeapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private record Measurement(
            long commandBytes,
            long snapshotBytes,
            long heapBytes,
            long applyNanoseconds,
            long writeNanoseconds,
            long restoreNanoseconds) {}
}
