package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.job.JobSettings;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.placement.PlacementSettings;
import org.marjoramnotch.logic.replication.RecoveredState;
import org.marjoramnotch.logic.replication.Replica;
import org.marjoramnotch.logic.replication.ReplicaSettings;
import org.marjoramnotch.model.endpoint.EndpointDescription;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.endpoint.SlotKind;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.AnnounceEndpoint;
import org.marjoramnotch.model.message.ApplyRules;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.Credential;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.EndAttempt;
import org.marjoramnotch.model.message.Granted;
import org.marjoramnotch.model.message.NotLeader;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.RenewEntry;
import org.marjoramnotch.model.rule.Repetition;

class CellCoreTest {
    private static final String SECRET_DIGEST = "a".repeat(64);
    private static final String RULES =
            """
            team wards share 1 limit 1 # ward office
            key kw team wards sha256 %s # ward office
            queue permits private wards policy quick service gas-check once # ward office
            """
                    .formatted(SECRET_DIGEST);
    private static final VmId VM = new VmId("vm-1");
    private static final VmId ENTRY = new VmId("vm-2");

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
    private final CellCore core = newCore();
    private final List<OutgoingReply> replies = new ArrayList<>();
    private long now;
    private long correlation;

    @Test
    void replicaWithoutGroupNamesNoLeader() {
        assertThat(send(new RenewEntry(ENTRY, "a")))
                .isEqualTo(NotLeader.notProcessed(Optional.empty()));
    }

    @Test
    void grantedRequestRunsUntilItsEndIsReported() {
        prepare();
        assertThat(send(place(1)))
                .isEqualTo(
                        new Granted(
                                attempt(1),
                                new TeamName("wards"),
                                new EndpointId("e-1"),
                                "x",
                                "127.0.0.1",
                                1,
                                Repetition.ONCE,
                                PlacementSettings.defaults().startWithinMilliseconds()));
        assertThat(core.ledger().runningCount()).isEqualTo(1);
        assertThat(send(end(1))).isEqualTo(new Done());
        assertThat(core.ledger().runningCount()).isZero();
    }

    @Test
    void withdrawnKeyGetsNoGrantOnceTheChangeIsAccepted() {
        prepare();
        String withoutKey = RULES.replaceAll("(?m)^key.*$", "");
        send(new ApplyRules(new RequestId("second"), 1, withoutKey));
        CellReply reply = send(place(1));
        assertThat(reply)
                .isInstanceOfSatisfying(
                        Refused.class,
                        refused ->
                                assertThat(refused.refusal())
                                        .extracting(Refusal::code, Refusal::outcome)
                                        .containsExactly(
                                                ErrorCode.KEY_REFUSED, ExecutionOutcome.NOT_RUN));
    }

    @Test
    void wrongSecretIsRefused() {
        prepare();
        PlaceRequest request = place(1, "b".repeat(64));
        assertThat(send(request))
                .isInstanceOfSatisfying(
                        Refused.class,
                        refused ->
                                assertThat(refused.refusal().code())
                                        .isEqualTo(ErrorCode.KEY_REFUSED));
    }

    @Test
    void stoppingReplicaAcceptsNoRequest() {
        prepare();
        core.prepareStop(now);
        assertThat(send(place(1))).isEqualTo(NotLeader.notProcessed(Optional.empty()));
    }

    private void prepare() {
        core.formGroup(now);
        collect();
        advance(100);
        send(new ApplyRules(new RequestId("first"), 0, RULES));
        send(announcement());
        send(new RenewEntry(ENTRY, "a"));
        assertThat(core.ledger().configurationVersion()).isEqualTo(1);
        assertThat(core.ledger().endpointCount()).isEqualTo(1);
    }

    private CellReply send(CellRequest request) {
        RequestHandle handle = new RequestHandle("link", ++correlation);
        core.request(now, handle, request);
        collect();
        advance(100);
        return replies.stream()
                .filter(reply -> reply.handle().equals(handle))
                .findFirst()
                .orElseThrow()
                .reply();
    }

    private void advance(long milliseconds) {
        for (long end = now + milliseconds; now < end; now += 20) {
            core.tick(now);
            collect();
        }
    }

    private void collect() {
        core.endBatch(now);
        replies.addAll(core.takeEffects(now).replies());
    }

    private CellCore newCore() {
        ReplicaSettings settings =
                ReplicaSettings.builder(new ReplicaId(VM, "disk"), Set.of(VM)).build();
        Replica replica = new Replica(settings, RecoveredState.empty(), random, 0);
        StandardLeaderDutyFactory dutyFactory =
                new StandardLeaderDutyFactory(
                        PlacementSettings.defaults(), JobSettings.defaults(), random);
        return new CellCore(new CellSettings(100), replica, new ReferenceCodec(), dutyFactory);
    }

    private static AnnounceEndpoint announcement() {
        EndpointDescription description =
                new EndpointDescription(
                        new EndpointId("e-1"),
                        "x",
                        new ServiceName("gas-check"),
                        "127.0.0.1",
                        1,
                        8,
                        64,
                        new AvailabilityZone("z"),
                        "vm");
        return new AnnounceEndpoint(description, EndpointState.ACTIVE, List.of(), List.of());
    }

    private static AttemptId attempt(long sequence) {
        return new AttemptId(ENTRY, "a", sequence);
    }

    private static PlaceRequest place(long sequence) {
        return place(sequence, SECRET_DIGEST);
    }

    private static PlaceRequest place(long sequence, String secretDigest) {
        return new PlaceRequest(
                attempt(sequence),
                Optional.of(new Credential(new KeyId("kw"), secretDigest)),
                new QueueName("permits"),
                SlotKind.REQUEST,
                false,
                1_000,
                new AvailabilityZone("z"),
                Optional.empty(),
                List.of());
    }

    private static EndAttempt end(long sequence) {
        return new EndAttempt(attempt(sequence), ExecutionOutcome.RAN, false, 5, Optional.empty());
    }
}
