package org.marjoramnotch.logic.cell;

import static org.marjoramnotch.logic.cell.MicrosecondTimeline.MILLISECOND;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.replication.RecoveredState;

/**
 * A process with one replica, whose thread handles inputs in batches and sends the effects of a
 * batch after its sync, as the daemon's duty does. The process may be frozen between any two steps,
 * also after it has read the clock.
 */
final class FleetHost {
    private static final long TICK_MILLISECONDS = 45;
    private static final long BATCH_MILLISECONDS = 50;
    private static final int INPUTS_BETWEEN_CHECKS = 8;

    /** A step of the thread at which the process may be frozen. */
    enum Step {
        TICK,
        REQUEST,
        LIST,
        END,
        ORDER,
        COMMIT,
        TAKE,
        SYNC,
        SYNCED,
        SEND
    }

    /** Handles an input at the given time of the host's clock. */
    interface Handler {
        void handle(CellCore core, long now);
    }

    private record Input(Step step, Handler handler) {}

    final FleetNetwork.Machine machine;
    private final FleetSimulation cell;
    private final UniformRandomProvider random;
    private final long clockOrigin;
    private final Deque<Input> inbox = new ArrayDeque<>();
    final FleetDisk disk;
    private @Nullable CellCore core;
    private long life;
    private boolean idle;
    private long frozenUntil;
    private long nextTickAt;
    private Optional<Step> freezeAt = Optional.empty();
    private long freezeMicroseconds;
    private OptionalLong staleReading = OptionalLong.empty();
    long slowInputsUntil;

    FleetHost(FleetNetwork.Machine machine, FleetSimulation cell) {
        this.machine = machine;
        this.cell = cell;
        this.random = cell.random;
        this.disk = new FleetDisk(cell.timeline, random);
        this.clockOrigin = random.nextLong(1_000_000_000L);
    }

    boolean isRunning() {
        return core != null;
    }

    boolean isFrozen() {
        return cell.timeline.now() < frozenUntil;
    }

    long life() {
        return life;
    }

    /** Returns whether this replica may make decisions, without letting it notice anything. */
    boolean isLeading() {
        CellCore running = core;
        return running != null && !isFrozen() && running.status(clock()).leading();
    }

    private long clock() {
        return (clockOrigin + cell.timeline.now()) / MILLISECOND;
    }

    void start(RecoveredCore recovery) {
        core = recovery.start(disk.recover(), clock());
        idle = true;
        nextTickAt = clock();
        wake();
    }

    /** Creates a core from the stored state. */
    interface RecoveredCore {
        CellCore start(RecoveredState state, long now);
    }

    void losePower() {
        disk.losePower();
        core = null;
        life++;
        inbox.clear();
        frozenUntil = 0;
        freezeAt = Optional.empty();
        staleReading = OptionalLong.empty();
    }

    void freeze(long microseconds) {
        frozenUntil = Math.max(frozenUntil, cell.timeline.now() + microseconds);
    }

    /** Freezes the process when its thread next reaches a step. */
    void freezeAt(Step step, long microseconds) {
        freezeAt = Optional.of(step);
        freezeMicroseconds = microseconds;
    }

    void heal() {
        freezeAt = Optional.empty();
        slowInputsUntil = 0;
        disk.heal();
    }

    /** Runs an action of another thread of the process unless the process ends before. */
    void runLater(long microseconds, Runnable action) {
        long started = life;
        cell.timeline.after(
                microseconds,
                () -> {
                    if (started == life && isFrozen()) {
                        runLater(frozenUntil - cell.timeline.now() + random.nextInt(500), action);
                    } else if (started == life) {
                        action.run();
                    }
                });
    }

    void offer(Step step, Handler handler) {
        if (core != null) {
            inbox.add(new Input(step, handler));
            wake();
        }
    }

    private void wake() {
        if (idle) {
            idle = false;
            then(1 + random.nextInt(20), this::runOnce);
        }
    }

    /** Continues the thread after some time, and after a freeze. */
    private void then(long microseconds, Runnable next) {
        long started = life;
        cell.timeline.after(
                microseconds,
                () -> {
                    if (started == life && isFrozen()) {
                        then(frozenUntil - cell.timeline.now(), next);
                    } else if (started == life) {
                        next.run();
                    }
                });
    }

    /** Enters a step, at which the process may be frozen with a clock that was read before. */
    private void enter(Step step, long microseconds, Runnable next) {
        if (freezeAt.equals(Optional.of(step))) {
            freezeAt = Optional.empty();
            staleReading = random.nextBoolean() ? OptionalLong.of(clock()) : OptionalLong.empty();
            cell.trace.add(() -> "freeze host=" + machine.name() + " at=" + step);
            cell.count("freeze at " + step);
            freeze(freezeMicroseconds);
        }
        then(microseconds, next);
    }

    private long readClock() {
        long read = staleReading.orElse(clock());
        staleReading = OptionalLong.empty();
        return read;
    }

    private CellCore running() {
        return Objects.requireNonNull(core);
    }

    private void runOnce() {
        if (clock() >= nextTickAt) {
            enter(
                    Step.TICK,
                    cost(),
                    () -> {
                        long read = readClock();
                        running().tick(read);
                        nextTickAt = read + TICK_MILLISECONDS;
                        handleInputs(0, clock() + BATCH_MILLISECONDS);
                    });
        } else {
            handleInputs(0, clock() + BATCH_MILLISECONDS);
        }
    }

    private void handleInputs(int handled, long end) {
        boolean over = handled > 0 && handled % INPUTS_BETWEEN_CHECKS == 0 && clock() >= end;
        Input input = over ? null : inbox.poll();
        if (input == null) {
            then(cost(), this::endBatch);
            return;
        }
        enter(
                input.step(),
                cost(),
                () -> {
                    input.handler().handle(running(), readClock());
                    handleInputs(handled + 1, end);
                });
    }

    private void endBatch() {
        running().endBatch(clock());
        boolean slow = cell.timeline.now() < slowInputsUntil && random.nextInt(4) == 0;
        enter(Step.TAKE, slow ? random.nextLong(50_000, 1_000_000) : cost(), this::takeEffects);
    }

    private void takeEffects() {
        CellEffects effects = running().takeEffects(readClock());
        effects.decisionLog().forEach(this::trace);
        enter(Step.SYNC, cost(), () -> sync(effects));
    }

    private void trace(DecisionLogEntry entry) {
        cell.onDecision(entry);
        cell.trace.add(
                () -> "log host=" + machine.name() + " " + entry.event() + " " + entry.fields());
    }

    private void sync(CellEffects effects) {
        long before = clock();
        if (effects.writes().isEmpty()) {
            then(cost(), () -> afterSync(effects, before));
            return;
        }
        disk.sync(effects.writes(), this::then, () -> afterSync(effects, before));
    }

    private void afterSync(CellEffects effects, long before) {
        effects.messages().forEach(message -> cell.sendMessage(this, message));
        enter(Step.SYNCED, cost(), () -> decideWhetherToSend(effects, before, readClock()));
    }

    private void decideWhetherToSend(CellEffects effects, long before, long after) {
        if (after - before <= TICK_MILLISECONDS || running().mayDecide(after)) {
            enter(
                    Step.SEND,
                    cost(),
                    () -> {
                        staleReading = OptionalLong.empty();
                        effects.replies().forEach(cell::onReply);
                        effects.calls().forEach(call -> cell.calls.send(this, call));
                        endFlush();
                    });
            return;
        }
        boolean held = running().holdBack(effects);
        cell.trace.add(() -> "held_back host=" + machine.name() + " held=" + held);
        cell.count(held ? "effects held back" : "effects dropped");
        endFlush();
    }

    private void endFlush() {
        if (!inbox.isEmpty() || clock() >= nextTickAt || running().hasUnappliedEntries()) {
            then(1, this::runOnce);
            return;
        }
        idle = true;
        long started = life;
        long wait = nextTickAt * MILLISECOND - clockOrigin - cell.timeline.now();
        cell.timeline.after(
                Math.max(1, wait),
                () -> {
                    if (started == life) {
                        wake();
                    }
                });
    }

    private long cost() {
        return cell.timeline.now() < slowInputsUntil
                ? random.nextLong(500, 12_000)
                : random.nextLong(1, 25);
    }
}
