package org.marjoramnotch.logic.budget;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.TeamName;

/**
 * Decides whether the replicas can hold another workflow, including those that are being stored.
 *
 * <p>Load: many submissions for later times, or lasting ones, of which nothing ends soon; many
 * large ones at once; one team that sends all of these. What lasts and what one team holds is
 * limited to parts of the whole, so that ordinary work and other teams are still accepted.
 */
public final class HeldStateAdmission {
    private static final double SHARE_OF_LASTING_WORK = 0.7;
    private static final double SHARE_OF_TEAM = 0.5;

    /** What has no room left. */
    public enum Cause {
        /** The state of all workflows. */
        STATE,
        /** The state of workflows for later times and of lasting ones. */
        LASTING_STATE,
        /** The state of the workflows of the team. */
        TEAM_STATE
    }

    /**
     * A refusal.
     *
     * @param cause what has no room left
     * @param heldBytes what is held of it, with what is being stored
     * @param limitBytes how much of it may be held
     * @param neededBytes what the refused workflow needs
     */
    public record Rejection(Cause cause, long heldBytes, long limitBytes, long neededBytes) {
        /** Returns how many bytes must become free before the workflow has room. */
        public long missingBytes() {
            return heldBytes + neededBytes - limitBytes;
        }
    }

    /**
     * A workflow that asks for room.
     *
     * @param id its name
     * @param team its team, if it has one
     * @param lasting whether it stays for long whatever room is free: it is for later times, or its
     *     tasks last until it is cancelled
     * @param bytes what it takes
     */
    public record Candidate(JobId id, Optional<TeamName> team, boolean lasting, long bytes) {}

    private final HeldState held;
    private final Map<JobId, Candidate> beingStored = new HashMap<>();

    /** Creates the admission to a state. */
    public HeldStateAdmission(HeldState held) {
        this.held = held;
    }

    /**
     * Returns why a workflow is refused, or empty if it has room.
     *
     * @param limitBytes how much the replicas can hold
     * @param teams the number of teams that share it
     */
    public Optional<Rejection> findRejection(Candidate candidate, long limitBytes, int teams) {
        long stored = beingStored.values().stream().mapToLong(Candidate::bytes).sum();
        long total = held.totalBytes() + stored;
        if (total + candidate.bytes() > limitBytes) {
            return Optional.of(new Rejection(Cause.STATE, total, limitBytes, candidate.bytes()));
        }
        long lastingLimit = (long) (SHARE_OF_LASTING_WORK * limitBytes);
        if (candidate.lasting() && total + candidate.bytes() > lastingLimit) {
            return Optional.of(
                    new Rejection(Cause.LASTING_STATE, total, lastingLimit, candidate.bytes()));
        }
        TeamName team = candidate.team().orElse(null);
        if (team != null && teams > 1) {
            long ofTeam = held.bytesOf(team) + storedOf(team);
            long teamLimit = (long) (SHARE_OF_TEAM * limitBytes);
            if (ofTeam + candidate.bytes() > teamLimit) {
                return Optional.of(
                        new Rejection(Cause.TEAM_STATE, ofTeam, teamLimit, candidate.bytes()));
            }
        }
        return Optional.empty();
    }

    private long storedOf(TeamName team) {
        return beingStored.values().stream()
                .filter(candidate -> candidate.team().equals(Optional.of(team)))
                .mapToLong(Candidate::bytes)
                .sum();
    }

    /** Counts a workflow whose submission is being stored. */
    public void onProposed(Candidate candidate) {
        beingStored.put(candidate.id(), candidate);
    }

    /** Counts a workflow no longer by itself, since its submission was stored or refused. */
    public void onSettled(JobId id) {
        beingStored.remove(id);
    }
}
