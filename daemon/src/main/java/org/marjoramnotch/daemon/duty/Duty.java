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
    private static final int MAXIMUM_BATCH_SIZE = 1024;
    private static final long TURN_DURATION_MILLISECONDS = 500;

    private final DutyInputQueue<T> input;
    private final DutyHandler<T> handler;
    private final Clock clock;
    private final long tickMilliseconds;
    private final Consumer<Throwable> failureHandler;
    private long nextTickMilliseconds;

    private Duty(
            DutyInputQueue<T> input,
            DutyHandler<T> work,
            Clock clock,
            long tickMilliseconds,
            Consumer<Throwable> failure) {
        this.input = input;
        this.handler = work;
        this.clock = clock;
        this.tickMilliseconds = tickMilliseconds;
        this.failureHandler = failure;
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
            DutyInputQueue<T> input,
            DutyHandler<T> work,
            Clock clock,
            long tickMilliseconds,
            Consumer<Throwable> failure) {
        return Behaviors.setup(
                context -> {
                    Duty<T> duty = new Duty<>(input, work, clock, tickMilliseconds, failure);
                    context.getSelf().tell(Turn.NEXT);
                    return duty.receiveTurns(context);
                });
    }

    private Behavior<Turn> receiveTurns(ActorContext<Turn> context) {
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
            long end = clock.nowMilliseconds() + TURN_DURATION_MILLISECONDS;
            while (clock.nowMilliseconds() < end) {
                runOnce();
            }
            return true;
        } catch (RuntimeException | Error thrown) {
            failureHandler.accept(thrown);
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
            handler.tick(now);
            nextTickMilliseconds = now + tickMilliseconds;
        }
        // A pause of the process may fall into a batch; with a time from before it, a leader whose
        // lease ran out meanwhile would answer what arrived after the pause.
        input.drain(value -> handler.receive(clock.nowMilliseconds(), value), MAXIMUM_BATCH_SIZE);
        handler.flush(now);
    }
}
