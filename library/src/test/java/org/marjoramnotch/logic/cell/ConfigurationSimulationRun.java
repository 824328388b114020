package org.marjoramnotch.logic.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.logic.replication.ReplicationStatus;

/** One seeded run of a cell under faults whose configurations are changed and read all the time. */
final class ConfigurationSimulationRun {
    private static final long FOUNDING_MILLISECONDS = 3_000;
    private static final long SETTLE_MILLISECONDS = 15_000;
    private static final long LAST_CHANGE_MILLISECONDS = 2_000;

    private final CellSimulation simulation;
    private final SimulatedConfigurationClients clients;
    private final CellFaultInjector faults;
    private final int losses;

    /**
     * Creates a run.
     *
     * @param losses how many disks may be lost at once
     */
    ConfigurationSimulationRun(long seed, int losses, int replicas, Set<CellFault> enabled) {
        this.losses = losses;
        simulation = new CellSimulation(seed, CellGroup.open(losses, replicas));
        clients = new SimulatedConfigurationClients(simulation);
        faults = new CellFaultInjector(simulation, losses, enabled);
    }

    long time() {
        return simulation.time;
    }

    int confirmations() {
        return clients.confirmations();
    }

    int reads() {
        return clients.reads();
    }

    /** Runs with faults, then without, and returns how often each fault occurred. */
    Map<CellFault, Long> run(long faultMilliseconds) {
        simulation.run(FOUNDING_MILLISECONDS, clients::read);
        simulation.run(faultMilliseconds, () -> step(true));
        faults.loseDisksAtEnd();
        simulation.run(SETTLE_MILLISECONDS, () -> step(true));
        simulation.run(LAST_CHANGE_MILLISECONDS, () -> step(false));
        int readsBefore = clients.reads();
        simulation.run(LAST_CHANGE_MILLISECONDS, () -> step(false));
        assertThat(clients.reads()).as("reads at the end").isGreaterThan(readsBefore);
        checkAgreement();
        return faults.counts();
    }

    private void step(boolean changing) {
        faults.step();
        clients.read();
        if (changing) {
            clients.change();
        }
    }

    private void checkAgreement() {
        List<SimulatedHost> hosts = simulation.hosts;
        ReplicationStatus leader =
                hosts.stream()
                        .map(host -> host.status(simulation.time))
                        .filter(ReplicationStatus::ready)
                        .findFirst()
                        .orElseThrow();
        assertThat(leader.voters())
                .as("voters at the end")
                .hasSize(2 * losses + 1)
                .isSubsetOf(hosts.stream().map(SimulatedHost::id).toList());
        Ledger expected = hosts.get(0).core().ledger();
        assertThat(hosts)
                .extracting(host -> host.core().ledger())
                .allSatisfy(
                        ledger -> {
                            assertThat(ledger.configuration().text())
                                    .isEqualTo(expected.configuration().text());
                            assertThat(ledger.workflow().configuration())
                                    .isEqualTo(expected.workflow().configuration());
                        });
    }
}
