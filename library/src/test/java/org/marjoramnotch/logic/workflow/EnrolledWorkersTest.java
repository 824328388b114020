package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.model.command.DismissWorker;
import org.marjoramnotch.model.command.EnrollWorker;
import org.marjoramnotch.model.command.WorkflowCommand;
import org.marjoramnotch.model.fleet.FleetWorker;
import org.marjoramnotch.model.fleet.InheritedLease;
import org.marjoramnotch.model.fleet.WorkerIncarnation;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.resource.Resources;
import org.marjoramnotch.model.workflow.NextLifeEvidence;

/** Guards against a next life that is taken for the first one, by this leader or a later one. */
class EnrolledWorkersTest {
    private static final FleetWorker FIRST = life(1);
    private static final FleetWorker SECOND = life(2);
    private static final FleetWorker THIRD = life(3);

    private static final EnrollWorker READ =
            EnrollWorker.withInheritedLease(
                    SECOND, new InheritedLease(SECOND.incarnation(), 10_300, 10_000));

    private static FleetWorker life(long started) {
        return new FleetWorker(
                new WorkerIncarnation(new WorkerId("w-1"), started),
                WorkflowCell.POOL,
                "10.0.0.1:80",
                new AvailabilityZone("zone"),
                new Resources(8_000, 16_000, 0),
                List.of("a", "rack-1"),
                false);
    }

    private static EnrollWorker enroll(FleetWorker worker) {
        return new EnrollWorker(worker);
    }

    private static EnrollWorker endLease(FleetWorker worker) {
        return EnrollWorker.withoutInheritedLease(worker);
    }

    static Stream<Arguments> histories() {
        WorkflowCommand dismissFirst = new DismissWorker(FIRST.incarnation());
        WorkflowCommand dismissSecond = new DismissWorker(SECOND.incarnation());
        WorkflowCommand dismissIdle =
                new DismissWorker(
                        FIRST.incarnation(),
                        Optional.of(new NextLifeEvidence(List.of(), List.of(), false)));
        EnrollWorker enrollAfterIdle =
                new EnrollWorker(
                        SECOND, Optional.of(new NextLifeEvidence(List.of(), List.of(), false)));
        return Stream.of(
                Arguments.of(
                        "next life after a dismissal with all grants answered",
                        List.of(enroll(FIRST), dismissIdle, enroll(SECOND)),
                        false),
                Arguments.of(
                        "next life with all grants answered",
                        List.of(enroll(FIRST), enrollAfterIdle),
                        false),
                Arguments.of("first life", List.of(enroll(FIRST)), false),
                Arguments.of("first life again", List.of(enroll(FIRST), enroll(FIRST)), false),
                Arguments.of("next life", List.of(enroll(FIRST), enroll(SECOND)), true),
                Arguments.of(
                        "next life after a dismissal",
                        List.of(enroll(FIRST), dismissFirst, enroll(SECOND)),
                        true),
                Arguments.of(
                        "update of the next life",
                        List.of(enroll(FIRST), enroll(SECOND), enroll(SECOND)),
                        true),
                Arguments.of(
                        "end of the inherited lease read",
                        List.of(enroll(FIRST), enroll(SECOND), READ),
                        true),
                Arguments.of(
                        "end of a lease read after it was over",
                        List.of(enroll(FIRST), enroll(SECOND), endLease(SECOND), READ),
                        false),
                Arguments.of(
                        "inherited lease over",
                        List.of(enroll(FIRST), enroll(SECOND), endLease(SECOND)),
                        false),
                Arguments.of(
                        "life after one whose inherited lease is over",
                        List.of(enroll(FIRST), enroll(SECOND), endLease(SECOND), enroll(THIRD)),
                        true),
                Arguments.of(
                        "late end of the lease of an earlier life",
                        List.of(enroll(FIRST), enroll(SECOND), enroll(THIRD), endLease(SECOND)),
                        true),
                Arguments.of(
                        "life after two dismissals",
                        List.of(
                                enroll(FIRST),
                                dismissFirst,
                                enroll(SECOND),
                                dismissSecond,
                                enroll(THIRD)),
                        true));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("histories")
    void nextLifeMayHoldInheritedLeaseUntilItIsOver(
            String history, List<WorkflowCommand> commands, boolean inherited) {
        WorkflowLedger ledger = new WorkflowLedger();
        commands.forEach(ledger::apply);
        assertThat(mayHoldInheritedLease(ledger)).isEqualTo(inherited);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("histories")
    void snapshotsBetweenCommandsKeepInheritedLeases(
            String history, List<WorkflowCommand> commands, boolean inherited) {
        WorkflowLedger ledger = new WorkflowLedger();
        for (WorkflowCommand command : commands) {
            ledger.apply(command);
            WorkflowLedger restored = new WorkflowLedger();
            restored.restore(ledger.snapshot());
            ledger = restored;
        }
        assertThat(mayHoldInheritedLease(ledger)).isEqualTo(inherited);
    }

    private static boolean mayHoldInheritedLease(WorkflowLedger ledger) {
        return ledger.worker(new WorkerId("w-1")).orElseThrow().mayHoldInheritedLease();
    }
}
