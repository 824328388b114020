package org.marjoramnotch.logic.cell;

import org.apache.commons.rng.UniformRandomProvider;
import org.marjoramnotch.logic.configuration.ConfigurationDuty;
import org.marjoramnotch.logic.job.JobDuty;
import org.marjoramnotch.logic.job.JobSettings;
import org.marjoramnotch.logic.leader.LeaderDuty;
import org.marjoramnotch.logic.ledger.Ledger;
import org.marjoramnotch.logic.placement.PlacementDuty;
import org.marjoramnotch.logic.placement.PlacementSettings;

/**
 * The decisions as the product ships them.
 *
 * @param placementSettings settings of quick requests and feeds
 * @param jobSettings settings of jobs
 * @param random draws names of jobs and the order among equals
 */
public record StandardCellParts(
        PlacementSettings placementSettings, JobSettings jobSettings, UniformRandomProvider random)
        implements CellParts {
    @Override
    public LeaderDuty configuration(Ledger ledger, long termStartMilliseconds) {
        return new ConfigurationDuty(ledger.configuration());
    }

    @Override
    public LeaderDuty placement(Ledger ledger, long termStartMilliseconds) {
        return new PlacementDuty(
                placementSettings,
                ledger.configuration(),
                ledger.placement(),
                ledger.usage(),
                termStartMilliseconds);
    }

    @Override
    public LeaderDuty job(Ledger ledger, long termStartMilliseconds) {
        return new JobDuty(
                jobSettings,
                ledger.configuration(),
                ledger.job(),
                ledger.usage(),
                random,
                termStartMilliseconds);
    }
}
