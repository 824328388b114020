package org.marjoramnotch.logic.replication;

import org.marjoramnotch.model.replication.Membership;

/**
 * Says which VMs may join a group and how many members vote.
 *
 * @param open whether any VM may join; otherwise only those of the settings, and an identity that
 *     was removed never again
 * @param minimumVoters with fewer voters a majority may be lost at once, so the group decides
 *     nothing
 * @param maximumVoters further members stay learners until a voter is lost
 * @param replaceAfterMilliseconds silence after which a learner takes the place of a voter
 */
public record MembershipPolicy(
        boolean open, int minimumVoters, int maximumVoters, long replaceAfterMilliseconds) {
    /** Returns the rule of a group whose VMs are all listed in the settings, and all vote. */
    public static MembershipPolicy fixed() {
        return new MembershipPolicy(false, 1, Integer.MAX_VALUE, Long.MAX_VALUE);
    }

    /**
     * Returns the rule of a group whose VMs come and go.
     *
     * @param tolerableLosses how many voters may be lost at once
     * @param replaceAfterMilliseconds silence after which a learner takes the place of a voter
     */
    public static MembershipPolicy open(int tolerableLosses, long replaceAfterMilliseconds) {
        int voters = 2 * tolerableLosses + 1;
        return new MembershipPolicy(true, voters, voters, replaceAfterMilliseconds);
    }

    /** Tells whether every majority keeps a member after the losses that are to be borne. */
    boolean toleratesLosses(Membership membership) {
        return membership.voters().size() >= minimumVoters;
    }
}
