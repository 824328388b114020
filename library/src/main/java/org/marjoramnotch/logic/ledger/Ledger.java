package org.marjoramnotch.logic.ledger;

import org.marjoramnotch.logic.configuration.ConfigurationState;
import org.marjoramnotch.logic.job.JobLedger;
import org.marjoramnotch.logic.placement.PlacementState;
import org.marjoramnotch.logic.workflow.WorkflowLedger;
import org.marjoramnotch.model.command.CancelJob;
import org.marjoramnotch.model.command.ChangeConfiguration;
import org.marjoramnotch.model.command.ChangeEndpointState;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.EndTask;
import org.marjoramnotch.model.command.ExpireWorker;
import org.marjoramnotch.model.command.ForgetClaims;
import org.marjoramnotch.model.command.ForgetEndpoint;
import org.marjoramnotch.model.command.RegisterEndpoint;
import org.marjoramnotch.model.command.RegisterWorker;
import org.marjoramnotch.model.command.ReleaseSlot;
import org.marjoramnotch.model.command.RemoveEndpoint;
import org.marjoramnotch.model.command.ReserveSlot;
import org.marjoramnotch.model.command.StartTasks;
import org.marjoramnotch.model.command.SubmitJob;
import org.marjoramnotch.model.command.WorkflowCommand;
import org.marjoramnotch.model.error.Invariant;
import org.marjoramnotch.model.rule.TeamRule;

/** The replicated state of a cell. It is changed only by commands. */
public final class Ledger {
    private final ConfigurationState configuration;
    private final TeamUsage usage;
    private final PlacementState placement;
    private final JobLedger job;
    private final WorkflowLedger workflow = new WorkflowLedger();

    /** Creates the empty state before the first command. */
    public Ledger() {
        this(new ConfigurationState());
    }

    private Ledger(ConfigurationState configuration) {
        this.configuration = configuration;
        this.usage =
                new TeamUsage(team -> configuration.team(team).map(TeamRule::upperLimit).orElse(0));
        this.placement = new PlacementState(configuration, usage);
        this.job = new JobLedger(configuration, usage);
    }

    /** Restores the state from a snapshot. */
    public static Ledger restore(LedgerSnapshot snapshot) {
        Ledger ledger = new Ledger(ConfigurationState.restore(snapshot.configuration()));
        ledger.placement.restore(snapshot.placement());
        ledger.job.restore(snapshot.job());
        ledger.workflow.restore(snapshot.workflow());
        ledger.checkCounts();
        return ledger;
    }

    /** Applies a command. The result is the same on every replica. */
    public CommandResult apply(Command command) {
        CommandResult result = dispatch(command);
        checkCounts();
        return result;
    }

    /** Returns a snapshot of the state. */
    public LedgerSnapshot snapshot() {
        return new LedgerSnapshot(
                configuration.snapshot(),
                placement.snapshot(),
                job.snapshot(),
                workflow.snapshot());
    }

    /** Returns the rules in force. */
    public ConfigurationState configuration() {
        return configuration;
    }

    /** Returns the number of running attempts and tasks of each team. */
    public TeamUsage usage() {
        return usage;
    }

    /** Returns the endpoints, attempts and idempotency claims. */
    public PlacementState placement() {
        return placement;
    }

    /** Returns the workers, jobs and runs. */
    public JobLedger job() {
        return job;
    }

    /** Returns the fleet configuration, the workers that receive orders, and the workflows. */
    public WorkflowLedger workflow() {
        return workflow;
    }

    /** Returns the version of the rules in force. */
    public long configurationVersion() {
        return configuration.version();
    }

    /** Returns the number of registered endpoints. */
    public int endpointCount() {
        return placement.endpoints().size();
    }

    /** Returns the number of registered workers. */
    public int workerCount() {
        return job.workerCount();
    }

    /** Returns the number of running attempts and tasks. */
    public int runningCount() {
        return usage.total();
    }

    private CommandResult dispatch(Command command) {
        if (command instanceof WorkflowCommand change) {
            return workflow.apply(change);
        }
        if (command instanceof ReserveSlot reserve) {
            return placement.apply(reserve);
        }
        if (command instanceof ReleaseSlot release) {
            return placement.apply(release);
        }
        if (command instanceof ChangeConfiguration change) {
            return configuration.apply(change);
        }
        return command instanceof RegisterEndpoint
                        || command instanceof ChangeEndpointState
                        || command instanceof RemoveEndpoint
                        || command instanceof ForgetEndpoint
                        || command instanceof ForgetClaims
                ? dispatchEndpoint(command)
                : dispatchJob(command);
    }

    private CommandResult dispatchEndpoint(Command command) {
        if (command instanceof RegisterEndpoint register) {
            return placement.apply(register);
        }
        if (command instanceof ChangeEndpointState change) {
            return placement.apply(change);
        }
        if (command instanceof RemoveEndpoint remove) {
            return placement.apply(remove);
        }
        if (command instanceof ForgetEndpoint forget) {
            return placement.apply(forget);
        }
        return placement.apply((ForgetClaims) command);
    }

    private CommandResult dispatchJob(Command command) {
        if (command instanceof StartTasks start) {
            return job.apply(start);
        }
        if (command instanceof EndTask end) {
            return job.apply(end);
        }
        if (command instanceof SubmitJob submit) {
            return job.apply(submit);
        }
        if (command instanceof CancelJob cancel) {
            return job.apply(cancel);
        }
        if (command instanceof RegisterWorker register) {
            return job.apply(register);
        }
        return job.apply((ExpireWorker) command);
    }

    private void checkCounts() {
        Invariant.check(
                usage.total() == placement.openAttemptCount() + job.runningCount(),
                "The team usage differs from the number of open attempts and running tasks");
    }
}
