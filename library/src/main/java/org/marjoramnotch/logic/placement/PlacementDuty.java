package org.marjoramnotch.logic.placement;

import java.util.Set;
import org.marjoramnotch.logic.configuration.ConfigurationView;
import org.marjoramnotch.logic.leader.LeaderDuty;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.command.ChangeEndpointState;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.ForgetClaims;
import org.marjoramnotch.model.command.ForgetEndpoint;
import org.marjoramnotch.model.command.RegisterEndpoint;
import org.marjoramnotch.model.command.ReleaseSlot;
import org.marjoramnotch.model.command.RemoveEndpoint;
import org.marjoramnotch.model.command.ReserveSlot;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.message.AnnounceEndpoint;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.EndAttempt;
import org.marjoramnotch.model.message.ForgetEndpointRequest;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.RenewEntry;

/**
 * Assigns quick requests and feeds to endpoints at the leader of a cell. Other requests are ignored
 * because other duties answer them.
 *
 * <p>If a {@link PlaceRequest} is resent while the request is still waiting, only the resent one is
 * answered, so that each attempt is answered once.
 */
public final class PlacementDuty implements LeaderDuty {
    private final PlacementContext context;
    private final EndpointAnnouncements announcements;
    private final ForgetEndpointHandler forgetEndpointHandler;
    private boolean claimRemovalPending;

    /**
     * Creates a duty with {@link PlacementPolicy#FAIR} and without a metrics listener, for a term
     * that starts at the given time.
     */
    public PlacementDuty(
            PlacementSettings settings,
            ConfigurationView configuration,
            PlacementState state,
            TeamUsage usage,
            long termStartMilliseconds) {
        this(
                settings,
                configuration,
                state,
                usage,
                termStartMilliseconds,
                PlacementPolicy.FAIR,
                PlacementMetricsListener.NONE);
    }

    /** Creates a duty with the given policy that reports its decisions to the metrics listener. */
    public PlacementDuty(
            PlacementSettings settings,
            ConfigurationView configuration,
            PlacementState state,
            TeamUsage usage,
            long termStartMilliseconds,
            PlacementPolicy policy,
            PlacementMetricsListener metricsListener) {
        this.context =
                new PlacementContext(
                        settings,
                        configuration,
                        state,
                        usage,
                        policy,
                        metricsListener,
                        termStartMilliseconds);
        this.announcements = new EndpointAnnouncements(context);
        this.forgetEndpointHandler =
                new ForgetEndpointHandler(context, announcements::isAnnouncing);
    }

    @Override
    public void onRequest(
            long nowMilliseconds, RequestHandle handle, CellRequest request, LeaderOutput output) {
        if (request instanceof PlaceRequest place) {
            context.placer().onRequest(nowMilliseconds, handle, place, output);
        } else if (request instanceof EndAttempt end) {
            context.releases().onEnd(nowMilliseconds, handle, end, output);
        } else if (request instanceof RenewEntry renewal) {
            output.reply(handle, context.entries().renew(nowMilliseconds, renewal));
        } else if (request instanceof AnnounceEndpoint announcement) {
            onAnnounced(nowMilliseconds, handle, announcement, output);
        } else if (request instanceof ForgetEndpointRequest forget) {
            forgetEndpointHandler.onRequest(nowMilliseconds, handle, forget, output);
        }
    }

    private void onAnnounced(
            long nowMilliseconds,
            RequestHandle handle,
            AnnounceEndpoint announcement,
            LeaderOutput output) {
        if (forgetEndpointHandler.isForgetting(announcement)) {
            EndpointId endpoint = announcement.description().endpoint();
            output.reply(handle, new Refused(EndpointAnnouncements.replacedIncarnation(endpoint)));
        } else {
            announcements.onAnnounced(nowMilliseconds, handle, announcement, output);
        }
    }

    @Override
    public void onApplied(
            long nowMilliseconds, Command command, CommandResult result, LeaderOutput output) {
        if (command instanceof ReserveSlot reserve) {
            context.placer().onApplied(nowMilliseconds, reserve, result, output);
        } else if (command instanceof ReleaseSlot release) {
            context.releases().onApplied(nowMilliseconds, release, output);
        } else if (command instanceof RegisterEndpoint register) {
            announcements.onApplied(nowMilliseconds, register, result, output);
        } else if (command instanceof ChangeEndpointState change) {
            announcements.onApplied(nowMilliseconds, change, output);
        } else if (command instanceof RemoveEndpoint remove) {
            context.endpoints().onRemoved(remove.endpoint());
        } else if (command instanceof ForgetEndpoint forget) {
            forgetEndpointHandler.onApplied(nowMilliseconds, forget, output);
        } else if (command instanceof ForgetClaims) {
            claimRemovalPending = false;
        }
    }

    @Override
    public void onTick(long nowMilliseconds, LeaderOutput output) {
        context.placer().onTick(nowMilliseconds, output);
        context.endpoints().onTick(nowMilliseconds, output);
        for (SlotPool pool : context.pools().refreshLimits()) {
            context.placer().placeWaiting(nowMilliseconds, pool.id(), output);
        }
        removeExcessClaims(output);
    }

    /**
     * Returns the teams with waiting requests. Iterates over all active teams, so it must not be
     * called on every tick.
     */
    public Set<TeamName> waitingTeams() {
        return context.pools().waitingTeams();
    }

    private void removeExcessClaims(LeaderOutput output) {
        int excess = context.state().endedClaimCount() - context.settings().maximumEndedClaims();
        if (excess > 0 && !claimRemovalPending) {
            claimRemovalPending = true;
            output.propose(new ForgetClaims(excess));
        }
    }
}
