package org.marjoramnotch.logic.workflow;

import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.leader.DecisionLogEntry;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.ReplaceConfiguration;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.ConfigurationAnswer;
import org.marjoramnotch.model.message.Done;

/** Takes configurations, of which the highest version is in force, and reads the newest back. */
final class ConfigurationRequestHandler {
    private final WorkflowLedger ledger;
    private final PendingReplies<Long> awaited = new PendingReplies<>();
    private @Nullable RouteTable routes;
    private long routesVersion;

    ConfigurationRequestHandler(WorkflowLedger ledger) {
        this.ledger = ledger;
    }

    void apply(RequestHandle handle, ApplyConfiguration request, LeaderOutput output) {
        FleetConfiguration configuration = request.configuration();
        ConfigurationValidator.validate(configuration);
        long inForce = ledger.configuration().map(FleetConfiguration::version).orElse(-1L);
        if (configuration.version() <= inForce) {
            output.logDecision(note("configuration_outdated", configuration.version(), inForce));
            output.reply(handle, new Done());
            return;
        }
        if (awaited.add(configuration.version(), handle)) {
            output.propose(new ReplaceConfiguration(configuration));
        }
    }

    void read(RequestHandle handle, LeaderOutput output) {
        output.reply(handle, new ConfigurationAnswer(inForce().document()));
    }

    void onApplied(ReplaceConfiguration command, LeaderOutput output) {
        long version = command.configuration().version();
        output.logDecision(note("configuration_in_force", version, inForce().version()));
        awaited.answer(version, new Done(), output);
    }

    /**
     * Returns the routes of the configuration in force.
     *
     * @throws MarjoramnotchException with {@code NO_LEADER} before the first configuration
     */
    RouteTable routes() {
        FleetConfiguration configuration = inForce();
        RouteTable current = routes;
        if (current == null || routesVersion != configuration.version()) {
            current = new RouteTable(configuration);
            routes = current;
            routesVersion = configuration.version();
        }
        return current;
    }

    private FleetConfiguration inForce() {
        return ledger.configuration()
                .orElseThrow(
                        () ->
                                new MarjoramnotchException(
                                        ErrorCode.NO_LEADER,
                                        "No configuration has arrived yet; try again later."));
    }

    private static DecisionLogEntry note(String event, long version, long inForce) {
        return DecisionLogEntry.of(event, "version", version, "in_force", inForce);
    }
}
