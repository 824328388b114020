package org.marjoramnotch.logic.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.QueuePolicy;

/** Expects when workers will have room for the tasks of a gang, from learned run times. */
final class DrainForecast {
    private static final long SHORTEST_OVERRUN_MILLISECONDS = 1_000;

    private final RunTimes runTimes;
    private final long nowMilliseconds;
    private final List<Room> rooms = new ArrayList<>();

    DrainForecast(RunTimes runTimes, long nowMilliseconds) {
        this.runTimes = runTimes;
        this.nowMilliseconds = nowMilliseconds;
    }

    /** Returns the fewest workers, by time, that will hold all tasks, and when they will. */
    Optional<Drained> drained(List<WorkerSession> workers, Resources perTask, int tasks) {
        workers.forEach(worker -> addRooms(worker, perTask));
        rooms.sort(
                Comparator.comparingLong(Room::atMilliseconds)
                        .thenComparing(room -> room.worker().id()));
        Set<WorkerSession> chosen = new LinkedHashSet<>();
        long held = 0;
        for (Room room : rooms) {
            held += room.tasks();
            chosen.add(room.worker());
            if (held >= tasks) {
                return Optional.of(new Drained(room.atMilliseconds(), List.copyOf(chosen)));
            }
        }
        return Optional.empty();
    }

    /** Returns when a run is expected to end; one that is overdue goes on for half its time. */
    long expectedEnd(TaskEntry task) {
        long ran = nowMilliseconds - task.sinceMilliseconds;
        long left = runTimes.late(task.job) - ran;
        long overrun = Math.max(SHORTEST_OVERRUN_MILLISECONDS, ran / 2);
        return nowMilliseconds + (left > 0 ? left : overrun);
    }

    private void addRooms(WorkerSession worker, Resources perTask) {
        List<Ending> endings = new ArrayList<>();
        for (TaskEntry task : worker.entry.runs()) {
            if (task.job.policy != QueuePolicy.SERVICE) {
                endings.add(new Ending(expectedEnd(task), task.job.perTask()));
            }
        }
        endings.sort(Comparator.comparingLong(Ending::atMilliseconds));
        Resources free = worker.free();
        long held = ResourceDimension.tasksThatFit(perTask, free);
        addRoom(nowMilliseconds, worker, held);
        for (Ending ending : endings) {
            free = free.plus(ending.freed());
            long holds = ResourceDimension.tasksThatFit(perTask, free);
            addRoom(ending.atMilliseconds(), worker, holds - held);
            held = holds;
        }
    }

    private void addRoom(long atMilliseconds, WorkerSession worker, long tasks) {
        if (tasks > 0) {
            rooms.add(new Room(atMilliseconds, worker, tasks));
        }
    }

    /** Workers that will have room. */
    record Drained(long atMilliseconds, List<WorkerSession> workers) {}

    private record Ending(long atMilliseconds, Resources freed) {}

    private record Room(long atMilliseconds, WorkerSession worker, long tasks) {}
}
