package org.marjoramnotch.logic.share;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.marjoramnotch.model.fleet.TeamDefinition;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.resource.Resources;

/**
 * The weighted dominant shares of the teams that use a pool (dominant resource fairness): for each
 * team, the largest of its shares of processor, memory and accelerators, divided by its weight.
 * Addresses loads in which some teams ask for more than their part of a pool. Work without a team
 * counts as one team of weight 1.
 */
public final class DominantShares {
    /**
     * Steps of a share in which teams alternate. Finer steps leave less to the order of the work by
     * its value; coarser ones let one team take a whole share before another gets any.
     */
    private static final int PORTIONS_PER_SHARE = 4;

    private static final int DIMENSIONS = 3;

    /** Rounding errors of sums of shares are smaller. */
    private static final double NEGLIGIBLE = 1e-9;

    /** What a team uses and wants, in units of the resources. */
    private final class Account {
        private final double weight;
        private final double largestShare;
        private final double[] used = new double[DIMENSIONS];
        private final double[] wanted = new double[DIMENSIONS];

        Account(double weight, double largestShare) {
            this.weight = weight;
            this.largestShare = largestShare;
        }

        /** Returns the weighted share at which the team has all that it wants and may have. */
        double need() {
            return Math.min(largestShare, largestFraction(wanted)) / weight;
        }

        /** Returns what fraction of a resource the team has for each unit of its weighted share. */
        double perUnit(int dimension) {
            return wanted[dimension] / capacity[dimension] * weight / largestFraction(wanted);
        }
    }

    private final double[] capacity;
    private final double usable;
    private final Function<TeamName, Optional<TeamDefinition>> teams;
    private final Map<Optional<TeamName>, Account> accounts = new LinkedHashMap<>();

    /**
     * Creates shares of a pool that no team uses yet.
     *
     * @param capacity capacity of the pool's usable workers
     * @param held what is reserved of it when no further task fits; less than the capacity, since
     *     tasks leave remainders on workers
     * @param teams the teams of the configuration in force
     */
    public DominantShares(
            Resources capacity,
            Resources held,
            Function<TeamName, Optional<TeamDefinition>> teams) {
        this.capacity = vector(capacity);
        for (int dimension = 0; dimension < DIMENSIONS; dimension++) {
            // Runs on workers that are lost can hold a resource of which no usable worker has any.
            this.capacity[dimension] = Math.max(1, this.capacity[dimension]);
        }
        this.usable = Math.min(1, largestFraction(vector(held)));
        this.teams = teams;
    }

    /** Adds work of a team that runs or whose start is decided. */
    public void addUse(Optional<TeamName> team, Resources amount) {
        Account account = account(team);
        add(account.used, amount);
        add(account.wanted, amount);
    }

    /** Adds work of a team that waits. */
    public void addWaiting(Optional<TeamName> team, Resources amount) {
        add(account(team).wanted, amount);
    }

    /** Counts waiting work of a team as if it were placed. */
    public void place(Optional<TeamName> team, Resources amount) {
        add(account(team).used, amount);
    }

    /** Returns the dominant share of a team divided by its weight. */
    public double shareOf(Optional<TeamName> team) {
        Account account = account(team);
        return largestFraction(account.used) / account.weight;
    }

    /** Returns all teams whose work was added. */
    public Set<Optional<TeamName>> teams() {
        return accounts.keySet();
    }

    /**
     * Returns the weighted share to which each team is entitled: the highest that all teams can
     * have at once, where a team that wants less leaves the rest to the others. Infinite if all
     * teams can have what they want.
     */
    public double entitledShare() {
        List<Account> byNeed =
                accounts.values().stream()
                        .filter(account -> account.need() > 0)
                        .sorted(Comparator.comparingDouble(Account::need))
                        .toList();
        double[] perUnit = new double[DIMENSIONS];
        for (Account account : byNeed) {
            for (int dimension = 0; dimension < DIMENSIONS; dimension++) {
                perUnit[dimension] += account.perUnit(dimension);
            }
        }
        double[] satisfied = new double[DIMENSIONS];
        for (Account account : byNeed) {
            double share = highestShare(satisfied, perUnit);
            if (share <= account.need()) {
                return share;
            }
            for (int dimension = 0; dimension < DIMENSIONS; dimension++) {
                satisfied[dimension] += account.perUnit(dimension) * account.need();
                perUnit[dimension] -= account.perUnit(dimension);
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /**
     * Returns how many portions of the entitled share a team has used up; teams with fewer come
     * first.
     */
    public static long portions(double share, double entitledShare) {
        return (long) (PORTIONS_PER_SHARE * share / entitledShare + NEGLIGIBLE);
    }

    /** Returns whether a team has its entitled share or more. */
    public static boolean isAbove(double share, double entitledShare) {
        return portions(share, entitledShare) >= PORTIONS_PER_SHARE;
    }

    private double highestShare(double[] satisfied, double[] perUnit) {
        double highest = Double.POSITIVE_INFINITY;
        for (int dimension = 0; dimension < DIMENSIONS; dimension++) {
            if (perUnit[dimension] > NEGLIGIBLE) {
                double left = Math.max(NEGLIGIBLE, usable - satisfied[dimension]);
                highest = Math.min(highest, left / perUnit[dimension]);
            }
        }
        return highest;
    }

    private Account account(Optional<TeamName> team) {
        return accounts.computeIfAbsent(team, this::newAccount);
    }

    private Account newAccount(Optional<TeamName> team) {
        Optional<TeamDefinition> definition = team.flatMap(teams);
        double weight = Math.max(1, definition.map(TeamDefinition::weight).orElse(1L));
        return new Account(weight, definition.map(this::largestShare).orElse(1.0));
    }

    /** Returns the largest dominant share that the upper limit of a team allows, at most 1. */
    private double largestShare(TeamDefinition team) {
        double[] limits = vector(team.upperLimit());
        double largest = 1;
        for (int dimension = 0; dimension < DIMENSIONS; dimension++) {
            if (limits[dimension] > 0) {
                largest = Math.min(largest, limits[dimension] / capacity[dimension]);
            }
        }
        return largest;
    }

    private static double[] vector(Resources amount) {
        return new double[] {
            amount.processorMillis(), amount.memoryMegabytes(), amount.accelerators()
        };
    }

    private static void add(double[] sums, Resources amount) {
        sums[0] += amount.processorMillis();
        sums[1] += amount.memoryMegabytes();
        sums[2] += amount.accelerators();
    }

    private double largestFraction(double[] amounts) {
        double processor = amounts[0] / capacity[0];
        double memory = amounts[1] / capacity[1];
        return Math.max(processor, Math.max(memory, amounts[2] / capacity[2]));
    }
}
