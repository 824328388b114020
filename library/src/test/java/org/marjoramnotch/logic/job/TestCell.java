package org.marjoramnotch.logic.job;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.assertj.core.api.Assertions;
import org.marjoramnotch.logic.leader.LeaderOutput;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.logic.ledger.TeamUsage;
import org.marjoramnotch.model.command.CancelJob;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.command.CommandResult;
import org.marjoramnotch.model.command.EndTask;
import org.marjoramnotch.model.command.ExpireWorker;
import org.marjoramnotch.model.command.RegisterWorker;
import org.marjoramnotch.model.command.StartTasks;
import org.marjoramnotch.model.command.SubmitJob;
import org.marjoramnotch.model.identifier.JobId;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.job.JobSnapshot;
import org.marjoramnotch.model.job.JobSpecification;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.JobAnswer;
import org.marjoramnotch.model.message.SubmitJobRequest;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.Repetition;

/** A leader's duty on a ledger, with a log that commits only when the test requests it. */
final class TestCell implements LeaderOutput {
    final TestConfiguration configuration;
    final JobSettings settings;
    final Deque<Command> log = new ArrayDeque<>();
    final Map<RequestHandle, CellReply> replies = new LinkedHashMap<>();
    final Map<String, Integer> coverage = new TreeMap<>();
    final UniformRandomProvider random;
    TeamUsage usage;
    JobLedger ledger;
    JobDuty duty;
    long now;
    private long lastCorrelation;

    TestCell(TestConfiguration configuration, JobSettings settings, long seed) {
        this.configuration = configuration;
        this.settings = settings;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        usage = configuration.usage();
        ledger = new JobLedger(configuration, usage);
        startTerm();
    }

    /**
     * Starts the term of another leader. The caller must commit or drop the contents of the log
     * before.
     */
    void startTerm() {
        duty = new JobDuty(settings, configuration, ledger, usage, random, now);
    }

    /**
     * Rebuilds the ledger from a snapshot, as on a replica that was behind, and starts a new term.
     */
    void restore() {
        JobSnapshot snapshot = ledger.snapshot();
        usage = configuration.usage();
        ledger = new JobLedger(configuration, usage);
        ledger.restore(snapshot);
        Assertions.assertThat(ledger.snapshot()).isEqualTo(snapshot);
        startTerm();
    }

    @Override
    public void propose(Command command) {
        log.add(command);
    }

    @Override
    public void reply(RequestHandle handle, CellReply reply) {
        Assertions.assertThat(replies.put(handle, reply)).isNull();
    }

    RequestHandle send(CellRequest request) {
        lastCorrelation++;
        RequestHandle handle = new RequestHandle("test", lastCorrelation);
        duty.onRequest(now, handle, request, this);
        return handle;
    }

    Optional<CellReply> reply(RequestHandle handle) {
        return Optional.ofNullable(replies.get(handle));
    }

    /** Sends a request, commits the resulting commands and returns the answer. */
    CellReply exchange(CellRequest request) {
        RequestHandle handle = send(request);
        commit();
        return reply(handle).orElseThrow();
    }

    JobId submit(TeamName team, QueuePolicy policy, Repetition repetition, JobSpecification job) {
        SubmitJobRequest request =
                new SubmitJobRequest(
                        Optional.of(TestConfiguration.credential(team)),
                        Optional.<RequestId>empty(),
                        TestConfiguration.queueName(policy, repetition),
                        job);
        return ((JobAnswer) exchange(request)).status().job();
    }

    void commit() {
        while (!log.isEmpty()) {
            commitFirst();
        }
    }

    /** Commits the first command of the log and counts it with its result. */
    void commitFirst() {
        Command command = log.remove();
        CommandResult result = apply(command);
        String kind = command.getClass().getSimpleName();
        String refused =
                result instanceof CommandResult.Rejected rejected
                        ? " " + rejected.refusal().code()
                        : "";
        String end = command instanceof EndTask ended ? " " + ended.end() : "";
        coverage.merge(kind + end + refused, 1, Integer::sum);
        duty.onApplied(now, command, result, this);
    }

    void tick(long milliseconds) {
        now += milliseconds;
        duty.onTick(now, this);
    }

    /** Advances in ticks of 20 milliseconds, committing after each. */
    void advance(long milliseconds) {
        for (long end = now + milliseconds; now < end; ) {
            tick(20);
            commit();
        }
    }

    private CommandResult apply(Command command) {
        if (command instanceof StartTasks start) {
            return ledger.apply(start);
        } else if (command instanceof EndTask end) {
            return ledger.apply(end);
        } else if (command instanceof SubmitJob submit) {
            return ledger.apply(submit);
        } else if (command instanceof CancelJob cancel) {
            return ledger.apply(cancel);
        } else if (command instanceof RegisterWorker register) {
            return ledger.apply(register);
        }
        return ledger.apply((ExpireWorker) command);
    }
}
