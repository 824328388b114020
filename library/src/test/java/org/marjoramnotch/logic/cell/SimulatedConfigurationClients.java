package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.identifier.RequestId;
import org.marjoramnotch.model.message.ApplyConfiguration;
import org.marjoramnotch.model.message.ApplyRules;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.ConfigurationAnswer;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.ReadConfiguration;
import org.marjoramnotch.model.message.ReadRules;
import org.marjoramnotch.model.message.Refused;
import org.marjoramnotch.model.message.RulesAnswer;

/**
 * Simulated operators who change the workflow configuration and the rules, and readers who ask any
 * replica for them.
 */
final class SimulatedConfigurationClients {
    private static final long CHANGE_MILLISECONDS = 50;
    private static final long READ_MILLISECONDS = 5;
    private static final int RESEND_MILLISECONDS = 3_000;
    private static final long NO_CONFIGURATION = 0;

    private final CellSimulation simulation;
    private final UniformRandomProvider random;
    private final ConfigurationHistory configuration =
            new ConfigurationHistory("configuration", NO_CONFIGURATION);
    private final ConfigurationHistory rules = new ConfigurationHistory("rules", 0);
    private long highestVersion = NO_CONFIGURATION;
    private int changes;
    private int confirmations;
    private int reads;

    SimulatedConfigurationClients(CellSimulation simulation) {
        this.simulation = simulation;
        this.random = simulation.random;
    }

    int confirmations() {
        return confirmations;
    }

    int reads() {
        return reads;
    }

    void change() {
        if (simulation.time % CHANGE_MILLISECONDS != 0) {
            return;
        }
        // Two operators sometimes send different changes at once.
        int operators = random.nextInt(4) == 0 ? 2 : 1;
        if (random.nextBoolean()) {
            long version = drawVersion();
            for (int operator = 0; operator < operators; operator++) {
                applyConfiguration(version);
            }
        } else {
            for (int operator = 0; operator < operators; operator++) {
                applyRules();
            }
        }
    }

    void read() {
        if (simulation.time % READ_MILLISECONDS == 0) {
            SimulatedHost host = simulation.hosts.get(random.nextInt(simulation.hosts.size()));
            if (random.nextBoolean()) {
                readConfiguration(host);
            } else {
                readRules(host);
            }
        }
    }

    /** Returns a version above all earlier ones, or sometimes an outdated one. */
    private long drawVersion() {
        if (highestVersion > NO_CONFIGURATION && random.nextInt(6) == 0) {
            return Math.max(NO_CONFIGURATION + 1, highestVersion - random.nextInt(3));
        }
        highestVersion += 1 + random.nextInt(3);
        return highestVersion;
    }

    private void applyConfiguration(long version) {
        String document = version + " of change " + ++changes;
        FleetConfiguration requested =
                new FleetConfiguration(version, document, List.of(), List.of(), List.of());
        apply(
                new ApplyConfiguration(requested),
                reply -> {
                    assertThat(reply).isEqualTo(new Done());
                    configuration.onConfirmed(version);
                });
    }

    private void applyRules() {
        String request = "change-" + ++changes;
        String text = "team wards share 1 limit 4 # " + request + "\n";
        apply(
                new ApplyRules(new RequestId(request), rules.latest(), text),
                reply -> {
                    if (reply instanceof RulesAnswer answer) {
                        assertThat(answer.text()).isEqualTo(text);
                        rules.checkContent(answer.version(), answer.text());
                        rules.onConfirmed(answer.version());
                    } else {
                        assertThat(((Refused) reply).refusal().code())
                                .isEqualTo(ErrorCode.VERSION_CONFLICT);
                    }
                });
    }

    /** Sends a change until it is answered, and sometimes again after it was confirmed. */
    private void apply(CellRequest request, Consumer<CellReply> onReply) {
        simulation.sendUntilAnswered(
                request,
                () -> true,
                reply -> {
                    onReply.accept(reply);
                    if (reply instanceof Refused) {
                        return;
                    }
                    confirmations++;
                    if (random.nextInt(4) == 0) {
                        resend(request, reply);
                    }
                });
    }

    private void resend(CellRequest request, CellReply firstReply) {
        simulation.schedule(
                random.nextInt(RESEND_MILLISECONDS),
                () ->
                        simulation.sendUntilAnswered(
                                request,
                                () -> true,
                                reply ->
                                        assertThat(reply)
                                                .as("answer to a confirmed change sent again")
                                                .isEqualTo(firstReply)));
    }

    private void readConfiguration(SimulatedHost host) {
        long required = configuration.latest();
        simulation.ask(
                host,
                new ReadConfiguration(),
                reply -> {
                    if (reply instanceof ConfigurationAnswer answer) {
                        reads++;
                        String document = answer.document();
                        long version = Long.parseLong(document.split(" ", 2)[0]);
                        configuration.onRead(required, version, document);
                    } else if (reply instanceof Refused refused) {
                        // Asks to try again later, and shows no version.
                        assertThat(refused.refusal().code()).isEqualTo(ErrorCode.NO_LEADER);
                    }
                });
    }

    private void readRules(SimulatedHost host) {
        long required = rules.latest();
        simulation.ask(
                host,
                new ReadRules(),
                reply -> {
                    if (reply instanceof RulesAnswer answer) {
                        reads++;
                        rules.onRead(required, answer.version(), answer.text());
                    }
                });
    }
}
