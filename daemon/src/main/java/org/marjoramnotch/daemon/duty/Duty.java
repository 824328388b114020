package org.marjoramnotch.daemon.duty;

import java.util.function.Consumer;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.marjoramnotch.model.time.Clock;

/**
 * Actor that owns a thread and does one duty on it. It waits on its bounded ring, not in its
 * mailbox: the mailbox carries only its own next turn and the stop signal, so that an idle duty
 * costs one wake-up for each tick.
 *
 * @param <T> the type of the input
 */
public final class Duty<T> {
    private static final int LARGEST_BATCH = 1024;
    private static final long TURN_MILLISECONDS = 500;

    private final DutyInput<T> input;
    private final DutyWork<T> work;
    private final Clock clock;
    private final long tickMilliseconds;
    private final Consumer<Throwable> failure;
    private long nextTickMilliseconds;

    private Duty(
            DutyInput<T> input,
            DutyWork<T> work,
            Clock clock,
            long tickMilliseconds,
            Consumer<Throwable> failure) {
        this.input = input;
        this.work = work;
        this.clock = clock;
        this.tickMilliseconds = tickMilliseconds;
        this.failure = failure;
        this.nextTickMilliseconds = clock.nowMilliseconds();
    }

    /** One turn of a duty. */
    public enum Turn {
        /** Do what there is to do, then wait for more. */
        NEXT
    }

    /**
     * Returns the actor of a duty, to be started on a pinned dispatcher.
     *
     * @param failure is given what the work throws; the duty then stops
     */
    public static <T> Behavior<Turn> create(
            DutyInput<T> input,
            DutyWork<T> work,
            Clock clock,
            long tickMilliseconds,
            Consumer<Throwable> failure) {
        return Behaviors.setup(
                context -> {
                    Duty<T> duty = new Duty<>(input, work, clock, tickMilliseconds, failure);
                    context.getSelf().tell(Turn.NEXT);
                    return duty.turns(context);
                });
    }

    private Behavior<Turn> turns(ActorContext<Turn> context) {
        return Behaviors.receiveMessage(
                turn -> {
                    if (!runTurn()) {
                        return Behaviors.stopped();
                    }
                    context.getSelf().tell(Turn.NEXT);
                    return Behaviors.same();
                });
    }

    /** Works for a while, since a turn of an actor costs more than one of its wake-ups. */
    private boolean runTurn() {
        try {
            long end = clock.nowMilliseconds() + TURN_MILLISECONDS;
            while (clock.nowMilliseconds() < end) {
                runOnce();
            }
            return true;
        } catch (RuntimeException | Error thrown) {
            failure.accept(thrown);
            return false;
        }
    }

    /** Waits for input or the next tick, then ticks when due and takes a batch. */
    private void runOnce() {
        long now = clock.nowMilliseconds();
        if (now < nextTickMilliseconds) {
            input.await(nextTickMilliseconds - now);
            now = clock.nowMilliseconds();
        }
        if (now >= nextTickMilliseconds) {
            work.tick(now);
            nextTickMilliseconds = now + tickMilliseconds;
        }
        // A pause of the process may fall into a batch; with a time from before it, a leader whose
        // lease ran out meanwhile would answer what arrived after the pause.
        input.drain(value -> work.receive(clock.nowMilliseconds(), value), LARGEST_BATCH);
        work.flush(now);
    }
}
