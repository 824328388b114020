package org.marjoramnotch.logic.workflow;

import org.jspecify.annotations.Nullable;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.command.ReplaceConfiguration;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.ConfigurationAnswer;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.time.Clock;

/** Handles requests to apply and read the configuration. The highest version is in force. */
final class ConfigurationRequestHandler {
    private final WorkflowLedger ledger;
    private final Clock wallClock;
    private final ConfigurationLog log;
    private final PendingReplies<Long> pendingReplies = new PendingReplies<>();
    private @Nullable RouteTable routes;
    private long routesVersion;

    ConfigurationRequestHandler(
            WorkflowLedger ledger, Clock wallClock, ConfigurationMetricsListener metricsListener) {
        this.ledger = ledger;
        this.wallClock = wallClock;
        this.log = new ConfigurationLog(ledger, wallClock, metricsListener);
    }

    void apply(RequestHandle handle, ApplyConfiguration request, LeaderOutput output) {
        FleetConfiguration configuration = request.configuration();
        ConfigurationValidator.validate(configuration);
        long inForce = ledger.configuration().map(FleetConfiguration::version).orElse(-1L);
        if (configuration.version() <= inForce) {
            log.logOutdated(configuration.version(), output);
            output.reply(handle, new Done());
            return;
        }
        if (pendingReplies.add(configuration.version(), handle)) {
            output.propose(new ReplaceConfiguration(configuration, wallClock.nowMilliseconds()));
        }
    }

    void read(RequestHandle handle, LeaderOutput output) {
        output.reply(handle, new ConfigurationAnswer(requireConfiguration().document()));
        log.logRead(output);
    }

    void onApplied(ReplaceConfiguration command, LeaderOutput output) {
        long version = command.configuration().version();
        log.logInForce(version, output);
        pendingReplies.answer(version, new Done(), output);
    }

    /** Returns the log of the decisions that depend on the configuration. */
    ConfigurationLog log() {
        return log;
    }

    /**
     * Returns the route table of the configuration in force.
     *
     * @throws MarjoramnotchException with {@code NO_LEADER} if no configuration has been applied
     *     yet
     */
    RouteTable routes() {
        FleetConfiguration configuration = requireConfiguration();
        RouteTable current = routes;
        if (current == null || routesVersion != configuration.version()) {
            current = new RouteTable(configuration);
            routes = current;
            routesVersion = configuration.version();
        }
        return current;
    }

    private FleetConfiguration requireConfiguration() {
        return ledger.configuration()
                .orElseThrow(
                        () ->
                                new MarjoramnotchException(
                                        ErrorCode.NO_LEADER,
                                        "No configuration has been applied yet; try again later."));
    }
}
