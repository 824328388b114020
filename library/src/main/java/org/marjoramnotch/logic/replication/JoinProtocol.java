package org.marjoramnotch.logic.replication;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.JoinReply;
import org.marjoramnotch.model.replication.JoinRequest;
import org.marjoramnotch.model.replication.ReplicationMessage;

/**
 * Asks the other VMs to let this replica join while it is not a member or hears no leader. This
 * also adds a replica again that is a member only according to its own log. This class never forms
 * a group. A leader announces the group to the VMs without a live member: such a VM may have lost
 * its disk, and so may all VMs that it could ask.
 */
final class JoinProtocol {
    private final ReplicaState state;
    private final Foundation foundation;
    private Set<VmId> configuredContacts;
    private Optional<VmId> lastReplyingVm = Optional.empty();
    private long nextSendMilliseconds;

    JoinProtocol(ReplicaState state, Foundation foundation) {
        this.state = state;
        this.foundation = foundation;
        this.nextSendMilliseconds = state.now();
        this.configuredContacts = state.settings().replicaVms();
    }

    void setJoinContacts(Set<VmId> contacts) {
        configuredContacts = Set.copyOf(contacts);
    }

    void tick() {
        if (state.now() < nextSendMilliseconds) {
            return;
        }
        if (state.leadership().isPresent()) {
            MembershipChanges changes = state.leadership().get().changes();
            sendTo(vm -> !changes.hasLiveMember(vm), new JoinReply(state.group()));
        } else if (!isMemberWithLeader()) {
            sendTo(vm -> true, new JoinRequest(state.self()));
        }
    }

    private void sendTo(Predicate<VmId> recipients, ReplicationMessage message) {
        nextSendMilliseconds = state.now() + state.settings().joinIntervalMilliseconds();
        contacts().stream()
                .filter(vm -> !vm.equals(state.self().vm()))
                .filter(recipients)
                .sorted()
                .map(vm -> new ReplicaId(vm, ""))
                .forEach(peer -> state.send(peer, message));
    }

    /**
     * Returns the VMs from the settings, the VMs of the members in this replica's log, and the VM
     * that last announced the group.
     */
    private Set<VmId> contacts() {
        Set<VmId> contacts = new HashSet<>(configuredContacts);
        lastReplyingVm.ifPresent(contacts::add);
        state.membership().members().map(ReplicaId::vm).forEach(contacts::add);
        return contacts;
    }

    void onRequest(ReplicaId from, JoinRequest request) {
        if (!state.membership().exists()) {
            return;
        }
        state.leadership()
                .ifPresentOrElse(
                        leadership -> leadership.changes().onJoinRequest(request.replica()),
                        () -> forwardToLeader(from, request));
        // The group of a blank founder may never elect a leader.
        if (!foundation.isBlank()) {
            state.send(from, new JoinReply(state.group()));
        }
    }

    /** Forwards a request to the leader, which a VM with an empty disk may not know. */
    private void forwardToLeader(ReplicaId from, JoinRequest request) {
        if (from.equals(request.replica())) {
            state.leader().ifPresent(leader -> state.send(leader, request));
        }
    }

    /** Records that a group exists, so that this replica cannot form a second one. */
    void onReply(ReplicaId from, JoinReply reply) {
        lastReplyingVm = Optional.of(from.vm());
        if (state.hardState().group().isEmpty()) {
            state.joinGroup(reply.group());
        } else if (foundation.isBlank() && !state.group().equals(reply.group())) {
            foundation.giveUpFor(reply.group());
        }
    }

    private boolean isMemberWithLeader() {
        boolean hasRecentLeader =
                state.timer().millisecondsSinceLeader(state.now())
                        < 2 * state.settings().electionTimeoutMaximumMilliseconds();
        return hasRecentLeader && state.membership().contains(state.self());
    }
}
