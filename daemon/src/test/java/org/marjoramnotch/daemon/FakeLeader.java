package org.marjoramnotch.daemon;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.marjoramnotch.logic.cell.LeaderDutyFactory;
import org.marjoramnotch.logic.leader.LeaderDuty;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.endpoint.EndpointDescription;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.AnnounceEndpoint;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.EndAttempt;
import org.marjoramnotch.model.message.EndpointRenewed;
import org.marjoramnotch.model.message.EntryRenewed;
import org.marjoramnotch.model.message.Granted;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.RenewEntry;
import org.marjoramnotch.model.rule.Repetition;

/** A leader without rules that grants each request the first endpoint it does not exclude. */
final class FakeLeader implements LeaderDutyFactory, LeaderDuty {
    final List<EndAttempt> ends = new CopyOnWriteArrayList<>();
    final List<PlaceRequest> placed = new CopyOnWriteArrayList<>();
    final List<AttemptId> revoked = new CopyOnWriteArrayList<>();
    volatile Repetition repetition = Repetition.ONCE;
    private final Map<EndpointId, EndpointDescription> endpoints = new LinkedHashMap<>();
    private final Map<AttemptId, Granted> granted = new ConcurrentHashMap<>();

    @Override
    public LeaderDuty createConfiguration(Ledger ledger, long termStartMilliseconds) {
        return this;
    }

    @Override
    public LeaderDuty createPlacement(Ledger ledger, long termStartMilliseconds) {
        return this;
    }

    @Override
    public LeaderDuty createJob(Ledger ledger, long termStartMilliseconds) {
        return this;
    }

    @Override
    public void onRequest(
            long nowMilliseconds, RequestHandle handle, CellRequest request, LeaderOutput output) {
        output.reply(handle, replyTo(request));
    }

    @Override
    public void onApplied(
            long nowMilliseconds, Command command, CommandResult result, LeaderOutput output) {}

    @Override
    public void onTick(long nowMilliseconds, LeaderOutput output) {}

    private CellReply replyTo(CellRequest request) {
        if (request instanceof AnnounceEndpoint announcement) {
            endpoints.put(announcement.description().endpoint(), announcement.description());
            return new EndpointRenewed(3_000, List.of());
        }
        if (request instanceof EndAttempt end) {
            ends.add(end);
            return new Done();
        }
        if (request instanceof RenewEntry) {
            return new EntryRenewed(new ArrayList<>(revoked));
        }
        return request instanceof PlaceRequest place
                ? place(place)
                : refused(ErrorCode.INVALID_REQUEST);
    }

    private CellReply place(PlaceRequest request) {
        placed.add(request);
        Optional<EndpointDescription> chosen =
                endpoints.values().stream()
                        .filter(endpoint -> !request.excluded().contains(endpoint.endpoint()))
                        .findFirst();
        if (chosen.isEmpty()) {
            return refused(ErrorCode.NO_ENDPOINT);
        }
        return granted.computeIfAbsent(
                request.attempt(),
                attempt ->
                        new Granted(
                                attempt,
                                new TeamName("team-a"),
                                chosen.get().endpoint(),
                                chosen.get().incarnation(),
                                chosen.get().host(),
                                chosen.get().port(),
                                repetition,
                                1_000));
    }

    private static Refused refused(ErrorCode code) {
        return new Refused(Refusal.notRun(code, "Refused by the test leader."));
    }
}
