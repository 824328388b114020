package org.marjoramnotch.logic.replication;

import org.marjoramnotch.model.replication.Membership;

/**
 * Defines which VMs may join a group and how many members vote.
 *
 * @param open whether any VM may join; otherwise only those in the settings may, and an identity
 *     that was removed may never join again
 * @param minimumVoters the number of voters below which a majority could be lost at once; with
 *     fewer, the group makes no decisions
 * @param maximumVoters the largest number of voters; further members stay learners until a voter is
 *     lost
 * @param replaceAfterMilliseconds silence after which a learner replaces a voter, in milliseconds
 */
public record MembershipPolicy(
        boolean open, int minimumVoters, int maximumVoters, long replaceAfterMilliseconds) {
    /** Returns the policy of a group whose VMs are all listed in the settings and all vote. */
    public static MembershipPolicy fixed() {
        return new MembershipPolicy(false, 1, Integer.MAX_VALUE, Long.MAX_VALUE);
    }

    /**
     * Returns the policy of a group whose VMs may be replaced by others at any time.
     *
     * @param tolerableLosses how many voters may be lost at once
     * @param replaceAfterMilliseconds silence after which a learner replaces a voter, in
     *     milliseconds
     */
    public static MembershipPolicy open(int tolerableLosses, long replaceAfterMilliseconds) {
        int voters = 2 * tolerableLosses + 1;
        return new MembershipPolicy(true, voters, voters, replaceAfterMilliseconds);
    }

    /** Returns how many voters may be lost at once. */
    int tolerableLosses() {
        return (minimumVoters - 1) / 2;
    }

    /** Returns whether every majority of the voters keeps a member after the tolerable losses. */
    boolean toleratesLosses(Membership membership) {
        return membership.voters().size() >= minimumVoters;
    }
}
