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
 * Orders the teams that have waiting tasks by priority. A team for which nothing fits is parked.
 * After capacity became free, all parked teams are tried again, but not before each other team was
 * tried.
 */
final class WaitingJobs {
    /**
     * Name of the single queue that holds the jobs of all teams when they are placed strictly in
     * order of acceptance.
     */
    private static final TeamName ALL_TEAMS = new TeamName("all");

    private final ConfigurationView configuration;
    private final QueueOrder order;
    private final Map<JobEntry, QueuedJob> jobs = new HashMap<>();
    private final Map<TeamName, TeamQueue> teams = new HashMap<>();
    private NavigableSet<TeamQueue> ready = new TreeSet<>(TeamQueue.BY_PRIORITY);
    private NavigableSet<TeamQueue> parked = new TreeSet<>(TeamQueue.BY_PRIORITY);
    private boolean retryParked;
    private Resources totalCapacity = Resources.NONE;

    WaitingJobs(ConfigurationView configuration, QueueOrder order) {
        this.configuration = configuration;
        this.order = order;
    }

    void add(QueuedJob queued) {
        jobs.put(queued.job, queued);
        update(queued);
    }

    /** Removes a job that has ended. */
    void forget(JobEntry job) {
        QueuedJob queued = jobs.remove(job);
        if (queued != null) {
            TeamQueue team = team(job.team);
            remove(team);
            team.remove(queued);
            putBack(team);
        }
    }

    Optional<QueuedJob> find(JobEntry job) {
        return Optional.ofNullable(jobs.get(job));
    }

    /** Updates the queues after the waiting tasks of a job changed. */
    void update(QueuedJob queued) {
        TeamQueue team = team(queued.job.team);
        remove(team);
        team.update(queued);
        putBack(team);
    }

    /** Changes the resources that a team holds. */
    void changeHeldResources(JobEntry job, Resources added, Resources removed) {
        TeamQueue team = team(job.team);
        boolean wasParked = parked.contains(team);
        remove(team);
        team.held = team.held.plus(added).minus(removed);
        if (wasParked) {
            park(team);
        } else {
            putBack(team);
        }
    }

    /** Sets the capacity of all workers together, to which shares refer. */
    void setTotalCapacity(Resources total) {
        totalCapacity = total;
    }

    /** Allows parked teams to be tried again, after those that are ready. */
    void retryParked() {
        retryParked = true;
    }

    /** Removes and returns the team that is furthest below its share, if any team is ready. */
    Optional<TeamQueue> next() {
        if (ready.isEmpty() && retryParked) {
            NavigableSet<TeamQueue> empty = ready;
            ready = parked;
            parked = empty;
            retryParked = false;
        }
        return Optional.ofNullable(ready.pollFirst());
    }

    /** Puts back a team that was removed and may have more tasks to place. */
    void putBack(TeamQueue team) {
        if (!team.isEmpty()) {
            updateSortKeys(team);
            ready.add(team);
        }
    }

    /** Puts back a team for which nothing could be placed. */
    void park(TeamQueue team) {
        if (!team.isEmpty()) {
            updateSortKeys(team);
            parked.add(team);
        }
    }

    /**
     * Returns the dominant share of the total capacity that a team holds, divided by its configured
     * share, as of its last change.
     */
    double shareUsed(TeamName name) {
        TeamQueue team = team(name);
        int share = configuration.team(name).map(TeamRule::share).orElse(1);
        return ResourceDimension.dominantShare(team.held, totalCapacity) / share;
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

    private void remove(TeamQueue team) {
        if (!ready.remove(team)) {
            parked.remove(team);
        }
    }

    private void updateSortKeys(TeamQueue team) {
        boolean urgentFirst = order == QueueOrder.URGENT_FIRST;
        team.rank = urgentFirst && !team.hasUrgent() ? 1 : 0;
        team.shareUsed = shareUsed(team.name);
    }
}
