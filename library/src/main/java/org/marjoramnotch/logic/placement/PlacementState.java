package org.marjoramnotch.logic.placement;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.marjoramnotch.logic.configuration.AuthorizedWork;
import org.marjoramnotch.logic.configuration.ConfigurationView;
import org.marjoramnotch.logic.configuration.WorkAuthorization;
import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.command.ChangeEndpointState;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.ForgetClaims;
import org.marjoramnotch.model.command.ForgetEndpoint;
import org.marjoramnotch.model.command.RegisterEndpoint;
import org.marjoramnotch.model.command.ReleaseSlot;
import org.marjoramnotch.model.command.RemoveEndpoint;
import org.marjoramnotch.model.command.ReserveSlot;
import org.marjoramnotch.model.endpoint.IdempotencyClaim;
import org.marjoramnotch.model.endpoint.OpenAttempt;
import org.marjoramnotch.model.endpoint.PlacementSnapshot;
import org.marjoramnotch.model.endpoint.StoredAnswer;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.AttemptId;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.rule.Repetition;

/**
 * The replicated state of placement: endpoints, open attempts and idempotency claims. Applying the
 * same commands in the same order produces the same state on every replica.
 */
public final class PlacementState {
    private static final CommandResult ACCEPTED = new CommandResult.Accepted();

    private final ConfigurationView configuration;
    private final TeamUsage usage;
    private final EndpointRegistry endpoints = new EndpointRegistry();
    private final OpenAttempts attempts = new OpenAttempts();
    private final EndedAttempts ended = new EndedAttempts();
    private final IdempotencyClaims claims = new IdempotencyClaims();

    /** Creates an empty state that counts its open attempts in the given usage. */
    public PlacementState(ConfigurationView configuration, TeamUsage usage) {
        this.configuration = configuration;
        this.usage = usage;
    }

    /**
     * Registers, updates or restarts an endpoint; rejects an incarnation that has been replaced.
     */
    public CommandResult apply(RegisterEndpoint command) {
        return endpoints.register(
                command.description(),
                open -> end(open, ExecutionOutcome.UNKNOWN, Optional.empty()));
    }

    /** Changes whether an endpoint accepts new work. */
    public CommandResult apply(ChangeEndpointState command) {
        return endpoints.changeState(command);
    }

    /** Removes an endpoint; rejected while attempts hold its slots. */
    public CommandResult apply(RemoveEndpoint command) {
        return endpoints.remove(command);
    }

    /** Removes an endpoint permanently and ends its attempts with an unknown outcome. */
    public CommandResult apply(ForgetEndpoint command) {
        return endpoints.forget(
                command, open -> end(open, ExecutionOutcome.UNKNOWN, Optional.empty()));
    }

    /**
     * Reserves a slot or feed connection after repeating all checks, because the state may have
     * changed since the reservation was proposed.
     */
    public CommandResult apply(ReserveSlot command) {
        if (attempts.find(command.attempt()).isPresent()) {
            return ACCEPTED;
        }
        if (ended.contains(command.attempt())) {
            return new CommandResult.Rejected(
                    new Refusal(
                            ErrorCode.STALE_EPOCH,
                            ExecutionOutcome.UNKNOWN,
                            "The attempt has already ended; start a new one."));
        }
        try {
            return reserve(command);
        } catch (MarjoramnotchException refused) {
            if (refused.code() == ErrorCode.INVARIANT_VIOLATED) {
                throw refused;
            }
            return new CommandResult.Rejected(refused.refusal());
        }
    }

    private CommandResult reserve(ReserveSlot command) {
        AuthorizedWork work =
                WorkAuthorization.reauthorize(
                        configuration, command.queue(), command.team(), command.key());
        Optional<CommandResult> conflict =
                command.claim()
                        .flatMap(
                                claim ->
                                        findClaimConflict(
                                                command.team(), claim, work.queue().repetition()));
        if (conflict.isPresent()) {
            return conflict.get();
        }
        EndpointSlots slots = PlacementChecks.requireEndpoint(this, command, work.queue());
        usage.add(command.team(), 1);
        OpenAttempt open =
                new OpenAttempt(
                        command.attempt(),
                        command.queue(),
                        command.team(),
                        work.key(),
                        command.endpoint(),
                        command.kind(),
                        command.claim());
        slots.reserve(open);
        attempts.add(pool(open, slots), open);
        command.claim().ifPresent(claim -> claims.start(command.team(), claim, command.attempt()));
        checkUsage(command.team());
        return ACCEPTED;
    }

    /**
     * Releases the slot of an attempt and marks the attempt as ended, even if it holds no slot, so
     * that it cannot be reserved later. Applying the command again has no effect.
     */
    public CommandResult apply(ReleaseSlot command) {
        attempts.find(command.attempt())
                .ifPresentOrElse(
                        open -> end(open, command.outcome(), command.answer()),
                        () -> ended.add(command.attempt()));
        return ACCEPTED;
    }

    /** Drops the oldest claims of ended requests. */
    public CommandResult apply(ForgetClaims command) {
        claims.dropOldest(command.count());
        return ACCEPTED;
    }

    private void end(OpenAttempt open, ExecutionOutcome outcome, Optional<StoredAnswer> answer) {
        EndpointSlots slots = endpoints.require(open);
        slots.release(open);
        attempts.remove(pool(open, slots), open);
        usage.remove(open.team(), 1);
        ended.add(open.attempt());
        open.claim()
                .ifPresent(
                        claim -> claims.end(open.team(), claim, open.attempt(), outcome, answer));
    }

    private void checkUsage(TeamName team) {
        Invariant.check(
                usage.total() >= attempts.size(),
                "The team usage is less than the number of open attempts");
        Invariant.check(usage.running(team) > 0, "A team with an open attempt has a usage of 0");
    }

    private static SlotPoolId pool(OpenAttempt open, EndpointSlots slots) {
        return new SlotPoolId(slots.description().service(), open.kind());
    }

    /** Returns a registered endpoint, or empty if it is not registered. */
    public Optional<EndpointSlots> endpoint(EndpointId endpoint) {
        return endpoints.find(endpoint);
    }

    /** Returns all registered endpoints. */
    public Collection<EndpointSlots> endpoints() {
        return endpoints.all();
    }

    /** Returns an open attempt, or empty if it is not open. */
    public Optional<OpenAttempt> attempt(AttemptId attempt) {
        return attempts.find(attempt);
    }

    /** Returns all open attempts. */
    public List<OpenAttempt> openAttempts() {
        return attempts.all();
    }

    /** Returns whether the attempt has ended and can no longer be reserved. */
    public boolean hasEnded(AttemptId attempt) {
        return attempts.find(attempt).isEmpty() && ended.contains(attempt);
    }

    /** Returns the number of open attempts. */
    public int openAttemptCount() {
        return attempts.size();
    }

    /** Returns the open feeds of an entry process. */
    public List<AttemptId> feeds(VmId entry, String incarnation) {
        return attempts.feeds(entry, incarnation);
    }

    /** Returns the number of open attempts of a team that hold slots of a pool. */
    public int inUse(SlotPoolId pool, TeamName team) {
        return attempts.count(pool, team);
    }

    /** Returns the number of stored claims of ended requests. */
    public int endedClaimCount() {
        return claims.endedCount();
    }

    /**
     * Returns the result to answer instead of running a request with this claim, or empty if the
     * request may run.
     */
    public Optional<CommandResult> findClaimConflict(
            TeamName team, IdempotencyClaim claim, Repetition repetition) {
        return claims.findConflict(team, claim, repetition);
    }

    /** Returns a snapshot of the state. */
    public PlacementSnapshot snapshot() {
        return new PlacementSnapshot(
                endpoints.snapshot(),
                endpoints.retired(),
                attempts.all(),
                claims.snapshot(),
                ended.snapshot());
    }

    /** Replaces the state with a snapshot and updates the team usage accordingly. */
    public void restore(PlacementSnapshot snapshot) {
        attempts.all().forEach(open -> usage.remove(open.team(), 1));
        attempts.clear();
        endpoints.restore(snapshot.endpoints(), snapshot.retired());
        for (OpenAttempt open : snapshot.attempts()) {
            EndpointSlots slots = endpoints.require(open);
            slots.addUnchecked(open);
            attempts.add(pool(open, slots), open);
            usage.restore(open.team(), 1);
        }
        claims.restore(snapshot.claims());
        ended.restore(snapshot.ended());
    }
}
