package org.marjoramnotch.daemon.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramnotch.daemon.duty.CellInput;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.ApplyRules;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.NotLeader;
import org.marjoramnotch.model.message.ReadRules;
import org.marjoramnotch.model.message.ReadStatus;
import org.marjoramnotch.model.message.RulesAnswer;
import org.marjoramnotch.model.replication.ReplicationEnvelope;

class FullDiskTest {
    private static final int NODES = 3;
    private static final long STEP_MILLISECONDS = 5;
    private static final long MAXIMUM_WAIT_MILLISECONDS = 20_000;
    private static final long HANG_MILLISECONDS = 3_000;
    private static final NotLeader UNKNOWN_OUTCOME = new NotLeader(Optional.empty(), true);
    private static final NotLeader NOT_RUN = new NotLeader(Optional.empty(), false);

    @TempDir private Path folder;
    private long now = 1_000;
    private List<DiskNode> nodes = List.of();

    @BeforeEach
    void formGroup() {
        List<VmId> vms =
                IntStream.rangeClosed(1, NODES).mapToObj(vm -> new VmId("vm-" + vm)).toList();
        Set<VmId> group = new LinkedHashSet<>(vms);
        nodes =
                vms.stream()
                        .map(
                                vm ->
                                        new DiskNode(
                                                vm,
                                                DiskGroupSettings.fixed(group),
                                                folder.resolve(vm.value()),
                                                () -> now))
                        .toList();
        nodes.get(0).inputs.add(new CellInput.Form(new CompletableFuture<>()));
        runUntil(() -> nodes.stream().allMatch(node -> node.status().voters().size() == NODES));
        leader().request(change(0));
        runUntil(() -> !leader().replies.isEmpty());
        assertThat(leader().replies).containsExactly(rules(1));
        leader().replies.clear();
    }

    @Test
    void leaderOnFullDiskAcknowledgesNothingAndAnotherLeadsAtOnce() {
        DiskNode former = leader();
        former.disk.setFull(true);
        former.request(change(1));
        run(3 * STEP_MILLISECONDS);
        assertThat(former.replies).containsExactly(UNKNOWN_OUTCOME);
        assertThat(former.status().leading()).isFalse();
        run(500);
        DiskNode next = leader();
        assertThat(next).isNotSameAs(former);
        next.request(change(1));
        former.request(new ReadRules());
        run(200);
        assertThat(next.replies).containsExactly(rules(2));
        assertThat(former.replies).containsExactly(UNKNOWN_OUTCOME, NOT_RUN);
        former.disk.setFull(false);
        runUntil(() -> former.status().commitIndex() == next.status().commitIndex());
        assertThat(former.status().term()).isEqualTo(next.status().term());
    }

    @Test
    void followersOnFullDisksAcknowledgeNothingAndCatchUp() {
        DiskNode leading = leader();
        List<DiskNode> followers = nodes.stream().filter(node -> node != leading).toList();
        followers.forEach(node -> node.disk.setFull(true));
        leading.request(change(1));
        run(2_500);
        assertThat(leading.replies).containsExactly(UNKNOWN_OUTCOME);
        followers.forEach(node -> node.disk.setFull(false));
        runUntil(() -> nodes.stream().anyMatch(node -> node.status().ready()));
        runUntil(
                () ->
                        nodes.stream().map(node -> node.status().commitIndex()).distinct().count()
                                == 1);
    }

    @Test
    void replicaSendsNothingWhileItsDiskIsFull() {
        DiskNode former = leader();
        former.disk.setFull(true);
        former.request(change(1));
        run(100);
        int before = former.totalSent;
        run(5_000);
        assertThat(former.totalSent).isEqualTo(before);
    }

    @Test
    void readIsNotAnsweredByLeaderWhoseSyncOutlastsItsLease() {
        DiskNode former = leader();
        former.disk.setSyncAction(synced -> hang(former));
        former.request(new ReadStatus());
        former.request(new ReadRules());
        former.request(change(1));
        former.run();
        assertThat(leader()).isNotSameAs(former);
        assertThat(former.replies).containsExactly(UNKNOWN_OUTCOME);
        run(100);
        assertThat(former.replies)
                .containsExactly(UNKNOWN_OUTCOME, UNKNOWN_OUTCOME, UNKNOWN_OUTCOME);
    }

    /** Guards against answers of a leader that was replaced while its machine was suspended. */
    @Test
    void leaderPausesAfterSuspensionUntilItIsConfirmed() {
        DiskNode suspended = leader();
        suspended.suspendedMilliseconds = 5_000;
        suspended.request(new ReadStatus());
        suspended.run();
        assertThat(suspended.replies).containsExactly(NOT_RUN);
        run(100);
        assertThat(leader()).isSameAs(suspended);
    }

    /** Blocks one replica in its sync while the others continue. */
    private void hang(DiskNode hanging) {
        hanging.disk.setSyncAction(synced -> {});
        run(HANG_MILLISECONDS);
        leader().request(change(1));
        run(100);
    }

    private DiskNode leader() {
        return nodes.stream().filter(node -> node.status().ready()).findFirst().orElseThrow();
    }

    private void run(long milliseconds) {
        long end = now + milliseconds;
        while (now < end) {
            step();
        }
    }

    private void runUntil(BooleanSupplier done) {
        long end = now + MAXIMUM_WAIT_MILLISECONDS;
        while (!done.getAsBoolean()) {
            assertThat(now).isLessThan(end);
            step();
        }
    }

    private void step() {
        now += STEP_MILLISECONDS;
        nodes.forEach(DiskNode::run);
        for (DiskNode node : nodes) {
            List<ReplicationEnvelope> messages = List.copyOf(node.sent);
            node.sent.clear();
            for (ReplicationEnvelope message : messages) {
                nodes.stream()
                        .filter(receiver -> message.isAddressedTo(receiver.self))
                        .forEach(receiver -> receiver.inputs.add(new CellInput.Message(message)));
            }
        }
    }

    private static CellRequest change(long version) {
        return new ApplyRules(new RequestId("change-" + version), version, rulesText(version + 1));
    }

    private static RulesAnswer rules(long version) {
        return new RulesAnswer(version, rulesText(version));
    }

    private static String rulesText(long version) {
        return "team wards share 1 limit " + version + " # ward office\n";
    }
}
