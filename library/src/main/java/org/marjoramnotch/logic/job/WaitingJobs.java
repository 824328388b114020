package org.marjoramnotch.logic.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import org.marjoramnotch.logic.configuration.ConfigurationView;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.rule.TeamRule;

/**
 * Orders teams that have waiting tasks by need. A team for which nothing fits is parked, and all
 * parked teams are tried again after capacity became free, but not before each other team was.
 */
final class WaitingJobs {
    /** Keeps jobs of all teams in one queue when they are taken strictly as they came. */
    private static final TeamName ALL_TEAMS = new TeamName("all");

    private final ConfigurationView configuration;
    private final QueueOrder order;
    private final Map<JobEntry, QueuedJob> jobs = new HashMap<>();
    private final Map<TeamName, TeamQueue> teams = new HashMap<>();
    private NavigableSet<TeamQueue> ready = new TreeSet<>(TeamQueue.BY_NEED);
    private NavigableSet<TeamQueue> parked = new TreeSet<>(TeamQueue.BY_NEED);
    private boolean retryParked;
    private Resources fleet = Resources.NONE;

    WaitingJobs(ConfigurationView configuration, QueueOrder order) {
        this.configuration = configuration;
        this.order = order;
    }

    void add(QueuedJob queued) {
        jobs.put(queued.job, queued);
        update(queued);
    }

    /** Forgets a job that has ended. */
    void forget(JobEntry job) {
        QueuedJob queued = jobs.remove(job);
        if (queued != null) {
            TeamQueue team = team(job.team);
            take(team);
            team.remove(queued);
            file(team);
        }
    }

    Optional<QueuedJob> find(JobEntry job) {
        return Optional.ofNullable(jobs.get(job));
    }

    /** Takes over that the waiting tasks of a job changed. */
    void update(QueuedJob queued) {
        TeamQueue team = team(queued.job.team);
        take(team);
        team.update(queued);
        file(team);
    }

    /** Changes what a team holds. */
    void hold(JobEntry job, Resources added, Resources removed) {
        TeamQueue team = team(job.team);
        boolean wasParked = parked.contains(team);
        take(team);
        team.held = team.held.plus(added).minus(removed);
        if (wasParked) {
            park(team);
        } else {
            file(team);
        }
    }

    /** Changes what all workers together have; shares are parts of it. */
    void fleet(Resources total) {
        fleet = total;
    }

    /** Lets parked teams be tried again, after those that are ready. */
    void retryParked() {
        retryParked = true;
    }

    /** Takes out the team that is furthest below its share, if any is ready. */
    Optional<TeamQueue> next() {
        if (ready.isEmpty() && retryParked) {
            NavigableSet<TeamQueue> empty = ready;
            ready = parked;
            parked = empty;
            retryParked = false;
        }
        return Optional.ofNullable(ready.pollFirst());
    }

    /** Puts a team back that was taken out and may have more to place. */
    void file(TeamQueue team) {
        if (!team.isEmpty()) {
            sort(team);
            ready.add(team);
        }
    }

    /** Puts a team back for which nothing could be placed. */
    void park(TeamQueue team) {
        if (!team.isEmpty()) {
            sort(team);
            parked.add(team);
        }
    }

    /** Returns the part of its share that a team uses, as of its last change. */
    double shareUsed(TeamName name) {
        TeamQueue team = team(name);
        int share = configuration.team(name).map(TeamRule::share).orElse(1);
        return ResourceDimension.dominantPart(team.held, fleet) / share;
    }

    TeamQueue team(TeamName name) {
        TeamName key = order == QueueOrder.FIRST_COME ? ALL_TEAMS : name;
        return teams.computeIfAbsent(
                key,
                created ->
                        new TeamQueue(
                                created,
                                order == QueueOrder.FIRST_COME
                                        ? ShapeQueue.FIRST_COME
                                        : ShapeQueue.FAIR));
    }

    Collection<TeamQueue> teams() {
        return teams.values();
    }

    private void take(TeamQueue team) {
        if (!ready.remove(team)) {
            parked.remove(team);
        }
    }

    private void sort(TeamQueue team) {
        boolean urgentFirst = order == QueueOrder.URGENT_FIRST;
        team.rank = urgentFirst && !team.hasUrgent() ? 1 : 0;
        team.shareUsed = shareUsed(team.name);
    }
}
