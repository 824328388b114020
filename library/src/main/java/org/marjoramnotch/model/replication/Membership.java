package org.marjoramnotch.model.replication;

import java.util.List;
import java.util.stream.Stream;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;

/**
 * The members of a group. Two successive memberships differ by one replica, so that any quorum of
 * one overlaps any quorum of the other.
 *
 * @param group the name of the group, which never changes; empty while no group is known
 * @param voters replicas that vote, and whose acknowledgements count for a commit
 * @param learners replicas that receive the log without a vote
 * @param removed former members, which must not join again under the same identity
 */
public record Membership(
        String group, List<ReplicaId> voters, List<ReplicaId> learners, List<ReplicaId> removed) {
    private static final int MAXIMUM_REMOVED = 64;

    /** Returns the membership of a replica that belongs to no group. */
    public static Membership none() {
        return new Membership("", List.of(), List.of(), List.of());
    }

    /** Returns the membership of a group of one voter. */
    public static Membership formedBy(ReplicaId founder) {
        return new Membership(founder.toString(), List.of(founder), List.of(), List.of());
    }

    /**
     * Returns the membership of a group that several replicas found together. Each founder starts
     * with this membership, so that no replica is ever the only one that holds what the group has
     * acknowledged.
     */
    public static Membership foundedBy(List<ReplicaId> founders) {
        List<ReplicaId> sorted = founders.stream().sorted().toList();
        return new Membership(sorted.toString(), sorted, List.of(), List.of());
    }

    /** Returns whether there is a group. */
    public boolean exists() {
        return !group.isEmpty();
    }

    /** Returns the number of voters that form a majority. */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    /** Returns whether a replica is a voter or a learner. */
    public boolean contains(ReplicaId replica) {
        return voters.contains(replica) || learners.contains(replica);
    }

    /** Returns voters and learners. */
    public Stream<ReplicaId> members() {
        return Stream.concat(voters.stream(), learners.stream());
    }

    /** Returns the members on a VM. */
    public Stream<ReplicaId> membersOn(VmId vm) {
        return members().filter(member -> member.vm().equals(vm));
    }

    /** Returns this membership with one more learner. */
    public Membership withLearner(ReplicaId replica) {
        return new Membership(group, voters, plus(learners, replica), minus(removed, replica));
    }

    /** Returns this membership with a learner promoted to voter. */
    public Membership withPromoted(ReplicaId learner) {
        return new Membership(group, plus(voters, learner), minus(learners, learner), removed);
    }

    /** Returns this membership without a member. */
    public Membership without(ReplicaId member) {
        return new Membership(
                group,
                minus(voters, member),
                minus(learners, member),
                latest(plus(removed, member)));
    }

    /**
     * Bounds the list of removed members. Older identities can be dropped, since a late message
     * from one of them does not come from a member in any case.
     */
    private static List<ReplicaId> latest(List<ReplicaId> replicas) {
        return replicas.subList(Math.max(0, replicas.size() - MAXIMUM_REMOVED), replicas.size());
    }

    private static List<ReplicaId> plus(List<ReplicaId> replicas, ReplicaId replica) {
        return Stream.concat(replicas.stream(), Stream.of(replica)).toList();
    }

    private static List<ReplicaId> minus(List<ReplicaId> replicas, ReplicaId replica) {
        return replicas.stream().filter(other -> !other.equals(replica)).toList();
    }
}
