package org.marjoramnotch.daemon.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramnotch.daemon.duty.CellInput;
import org.marjoramnotch.logic.cell.HeldConfigurationDetector.Cause;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.ApplyRules;

class HeldConfigurationTest {
    private static final VmId VM = new VmId("vm-1");

    @TempDir private Path folder;
    private long now = 1_000;

    @Test
    void replicaTellsItsVersionsAfterStartChangeAndDiskOutage() {
        DiskNode node = newNode();
        node.inputs.add(new CellInput.Form(new CompletableFuture<>()));
        run(node, 3_000);
        node.request(new ApplyRules(new RequestId("a"), 0, "team w share 1 limit 2 # Aiko\n"));
        run(node, 100);
        node.disk.setFull(true);
        node.request(new ApplyRules(new RequestId("b"), 1, "team w share 1 limit 3 # Aiko\n"));
        run(node, 500);
        node.disk.setFull(false);
        run(node, 10_000);

        List<DecisionLogEntry> held =
                node.decisions.stream()
                        .filter(entry -> entry.event().equals("configuration_held"))
                        .toList();
        assertThat(held)
                .extracting(entry -> entry.fields().subList(0, 6))
                .startsWith(
                        fields(Cause.START, 0),
                        fields(Cause.LOG, 1),
                        fields(Cause.DISK_OUTAGE, 0),
                        fields(Cause.LOG, 1));
    }

    private static List<Object> fields(Cause cause, long rulesVersion) {
        return List.of("cause", cause, "version", "none", "rules_version", rulesVersion);
    }

    private DiskNode newNode() {
        return new DiskNode(VM, DiskGroupSettings.fixed(Set.of(VM)), folder, () -> now);
    }

    private void run(DiskNode node, long milliseconds) {
        for (long end = now + milliseconds; now < end; now += 5) {
            node.run();
        }
    }
}
