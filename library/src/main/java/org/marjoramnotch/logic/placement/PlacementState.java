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
 * The replicated part of placement: endpoints, open attempts and idempotency claims. Applying the
 * same commands in the same order gives the same state on every replica.
 */
public final class PlacementState {
    private static final CommandResult ACCEPTED = new CommandResult.Accepted();

    private final ConfigurationView configuration;
    private final TeamUsage usage;
    private final EndpointRegistry endpoints = new EndpointRegistry();
    private final OpenAttempts attempts = new OpenAttempts();
    private final EndedAttempts ended = new EndedAttempts();
    private final IdempotencyClaims claims = new IdempotencyClaims();

    /** Creates a state without endpoints; open attempts are counted in the usage. */
    public PlacementState(ConfigurationView configuration, TeamUsage usage) {
        this.configuration = configuration;
        this.usage = usage;
    }

    /** Registers, changes or restarts an endpoint; refuses an incarnation that was replaced. */
    public CommandResult apply(RegisterEndpoint command) {
        return endpoints.register(
                command.description(),
                open -> end(open, ExecutionOutcome.UNKNOWN, Optional.empty()));
    }

    /** Changes whether an endpoint takes new work. */
    public CommandResult apply(ChangeEndpointState command) {
        return endpoints.changeState(command);
    }

    /** Forgets an endpoint; refused while attempts hold its slots. */
    public CommandResult apply(RemoveEndpoint command) {
        return endpoints.remove(command);
    }

    /** Removes an endpoint for good; what its attempts did is unknown. */
    public CommandResult apply(ForgetEndpoint command) {
        return endpoints.forget(
                command, open -> end(open, ExecutionOutcome.UNKNOWN, Optional.empty()));
    }

    /** Reserves a slot or feed connection, after checking all that it rests on again. */
    public CommandResult apply(ReserveSlot command) {
        if (attempts.find(command.attempt()).isPresent()) {
            return ACCEPTED;
        }
        if (ended.contains(command.attempt())) {
            return new CommandResult.Rejected(
                    new Refusal(
                            ErrorCode.STALE_EPOCH,
                            ExecutionOutcome.UNKNOWN,
                            "The attempt has ended; make a new one."));
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
        Optional<CommandResult> obstacle =
                command.claim()
                        .flatMap(
                                claim ->
                                        findClaimConflict(
                                                command.team(), claim, work.queue().repetition()));
        if (obstacle.isPresent()) {
            return obstacle.get();
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

    /** Frees what an attempt holds, once, and refuses it from now on also if it held nothing. */
    public CommandResult apply(ReleaseSlot command) {
        attempts.find(command.attempt())
                .ifPresentOrElse(
                        open -> end(open, command.outcome(), command.answer()),
                        () -> ended.add(command.attempt()));
        return ACCEPTED;
    }

    /** Forgets the oldest claims of ended requests. */
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
                usage.total() >= attempts.size(), "Open attempts are missing in the team usage");
        Invariant.check(usage.running(team) > 0, "A team with an open attempt has none running");
    }

    private static SlotPoolId pool(OpenAttempt open, EndpointSlots slots) {
        return new SlotPoolId(slots.description().service(), open.kind());
    }

    /** Returns a registered endpoint. */
    public Optional<EndpointSlots> endpoint(EndpointId endpoint) {
        return endpoints.find(endpoint);
    }

    /** Returns all registered endpoints. */
    public Collection<EndpointSlots> endpoints() {
        return endpoints.all();
    }

    /** Returns an open attempt. */
    public Optional<OpenAttempt> attempt(AttemptId attempt) {
        return attempts.find(attempt);
    }

    /** Returns all open attempts. */
    public List<OpenAttempt> openAttempts() {
        return attempts.all();
    }

    /** Tells whether the attempt has ended, so that it cannot be reserved any more. */
    public boolean hasEnded(AttemptId attempt) {
        return attempts.find(attempt).isEmpty() && ended.contains(attempt);
    }

    /** Returns how many attempts are open. */
    public int openAttemptCount() {
        return attempts.size();
    }

    /** Returns the open feeds of an entry process. */
    public List<AttemptId> feeds(VmId entry, String incarnation) {
        return attempts.feeds(entry, incarnation);
    }

    /** Returns how many open attempts of a team hold slots of a pool. */
    public int inUse(SlotPoolId pool, TeamName team) {
        return attempts.count(pool, team);
    }

    /** Returns how many claims of ended requests are kept. */
    public int endedClaimCount() {
        return claims.endedCount();
    }

    /** Returns what stands against running a request with this claim now; empty if nothing does. */
    public Optional<CommandResult> findClaimConflict(
            TeamName team, IdempotencyClaim claim, Repetition repetition) {
        return claims.findConflict(team, claim, repetition);
    }

    /** Returns the whole state. */
    public PlacementSnapshot snapshot() {
        return new PlacementSnapshot(
                endpoints.snapshot(),
                endpoints.retired(),
                attempts.all(),
                claims.snapshot(),
                ended.snapshot());
    }

    /** Replaces the whole state, and its part of the team usage. */
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
