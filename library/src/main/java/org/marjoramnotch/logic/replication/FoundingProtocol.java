package org.marjoramnotch.logic.replication;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.replication.FoundingAttestation;
import org.marjoramnotch.model.replication.FoundingMessage;
import org.marjoramnotch.model.replication.FoundingNotice;
import org.marjoramnotch.model.replication.FoundingProbe;
import org.marjoramnotch.model.replication.Membership;

/**
 * Founds a group anew if all seeds are blank, as after processes ended before they had stored that
 * they are founders.
 *
 * <p>The first seed by name probes all seeds in rounds. It founds a group of the replicas that
 * attested in two rounds, of which the second began after the first had ended. These replicas were
 * then all blank at one time: a replica with an acknowledged entry never becomes blank again. If a
 * quorum has more members than disks may be lost, no group had acknowledged anything by that time.
 */
final class FoundingProtocol {
    private final ReplicaState state;
    private final Foundation foundation;
    private final UniformRandomProvider random;
    private final Map<VmId, FoundingAttestation> attestations = new TreeMap<>();
    private final Map<VmId, ReplicaId> attesting = new TreeMap<>();
    private Set<VmId> seeds;
    private List<ReplicaId> attestedBefore = List.of();
    private long round;
    private long nextRoundMilliseconds;

    FoundingProtocol(ReplicaState state, Foundation foundation, UniformRandomProvider random) {
        this.state = state;
        this.foundation = foundation;
        this.random = random;
        this.seeds = state.settings().replicaVms();
        this.nextRoundMilliseconds = state.now();
    }

    void setSeeds(Set<VmId> newSeeds) {
        seeds = Set.copyOf(newSeeds);
        attestedBefore = List.of();
        endRound();
    }

    void tick() {
        if (state.now() >= nextRoundMilliseconds && mayPropose()) {
            nextRoundMilliseconds = state.now() + state.settings().joinIntervalMilliseconds();
            startRound();
        }
    }

    void receive(ReplicaId from, FoundingMessage message) {
        if (message instanceof FoundingProbe probe) {
            onProbe(from, probe);
        } else if (message instanceof FoundingAttestation attestation) {
            onAttestation(from, attestation);
        } else if (message instanceof FoundingNotice notice) {
            onNotice(notice);
        }
    }

    private void onProbe(ReplicaId from, FoundingProbe probe) {
        if (!state.settings().membershipPolicy().open()) {
            return;
        }
        if (!foundation.isBlank()) {
            foundation.report(FoundingDecision.REFUSED_NOT_BLANK, state.group());
        } else if (!foundation.allows(seeds, Set.copyOf(probe.seeds()))) {
            foundation.report(FoundingDecision.REFUSED_OTHER_SEEDS, state.group());
        } else {
            state.send(from, new FoundingAttestation(probe.round(), state.group()));
        }
    }

    private void onAttestation(ReplicaId from, FoundingAttestation attestation) {
        boolean awaited = !attesting.isEmpty() && attestation.round() == round;
        if (awaited && seeds.contains(from.vm()) && mayPropose()) {
            record(from, attestation);
        }
    }

    private void onNotice(FoundingNotice notice) {
        Membership membership = notice.membership();
        if (!membership.voters().contains(state.self())
                || membership.group().equals(state.group())) {
            return;
        }
        if (foundation.isBlank()) {
            foundation.adopt(membership, FoundingDecision.ADOPTED);
        } else {
            foundation.report(FoundingDecision.REFUSED_NOT_BLANK, membership.group());
        }
    }

    /** Waits for a leader first, since a group that lives needs no founding. */
    private boolean mayPropose() {
        MembershipPolicy policy = state.settings().membershipPolicy();
        boolean first =
                seeds.contains(state.self().vm())
                        && Collections.min(seeds).equals(state.self().vm());
        boolean quiet =
                state.timer().millisecondsSinceLeader(state.now())
                        >= 2 * state.settings().electionTimeoutMaximumMilliseconds();
        if (!policy.open() || !first || !quiet || !foundation.isBlank()) {
            return false;
        }
        if (quorum() <= policy.tolerableLosses()) {
            foundation.report(FoundingDecision.REFUSED_TOO_MANY_LOSSES, state.group());
            return false;
        }
        if (!foundation.allows(seeds, seeds)) {
            foundation.report(FoundingDecision.REFUSED_OTHER_SEEDS, state.group());
            return false;
        }
        return true;
    }

    private void startRound() {
        endRound();
        round = random.nextLong();
        FoundingProbe probe = new FoundingProbe(round, seeds.stream().sorted().toList());
        seeds.stream()
                .filter(seed -> !seed.equals(state.self().vm()))
                .sorted()
                .forEach(seed -> state.send(new ReplicaId(seed, ""), probe));
        record(state.self(), new FoundingAttestation(round, state.group()));
    }

    private void endRound() {
        attestations.clear();
        attesting.clear();
    }

    private void record(ReplicaId from, FoundingAttestation attestation) {
        attesting.put(from.vm(), from);
        attestations.put(from.vm(), attestation);
        if (!attesting.keySet().equals(seeds)) {
            return;
        }
        List<ReplicaId> attested = List.copyOf(attesting.values());
        if (attested.equals(attestedBefore)) {
            found(attested);
            endRound();
        } else {
            attestedBefore = attested;
            startRound();
        }
    }

    private void found(List<ReplicaId> founders) {
        if (canElectLeader(attestations.values())) {
            foundation.report(FoundingDecision.REFUSED_QUORUM_EXISTS, state.group());
            return;
        }
        Membership membership = Membership.foundedBy(founders);
        if (!membership.group().equals(state.group())) {
            foundation.adopt(membership, FoundingDecision.FOUNDED_ANEW);
        }
        founders.stream()
                .filter(founder -> !founder.equals(state.self()))
                .forEach(founder -> state.send(founder, new FoundingNotice(membership)));
    }

    /** Returns whether enough replicas hold one founding entry to elect a leader by themselves. */
    private boolean canElectLeader(Collection<FoundingAttestation> attested) {
        return attested.stream()
                .map(FoundingAttestation::group)
                .filter(group -> !group.isEmpty())
                .collect(Collectors.groupingBy(group -> group, Collectors.counting()))
                .values()
                .stream()
                .anyMatch(count -> count >= quorum());
    }

    private int quorum() {
        return seeds.size() / 2 + 1;
    }
}
