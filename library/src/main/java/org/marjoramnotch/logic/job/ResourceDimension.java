package org.marjoramnotch.logic.job;

import org.marjoramnotch.model.resource.Resources;

/** One kind of resource. */
enum ResourceDimension {
    PROCESSOR,
    MEMORY,
    ACCELERATOR;

    static final ResourceDimension[] ALL = values();

    long of(Resources amounts) {
        return switch (this) {
            case PROCESSOR -> amounts.processorMillis();
            case MEMORY -> amounts.memoryMegabytes();
            default -> amounts.accelerators();
        };
    }

    /** Returns how many tasks of the given size fit into an amount. */
    static long tasksThatFit(Resources task, Resources amount) {
        long maximum = JobValidation.MAXIMUM_TASKS_PER_JOB;
        for (ResourceDimension dimension : ALL) {
            if (dimension.of(task) > 0) {
                maximum = Math.min(maximum, dimension.of(amount) / dimension.of(task));
            }
        }
        return maximum;
    }

    /** Returns the largest share of the whole that the amounts are in any dimension. */
    static double dominantShare(Resources amounts, Resources whole) {
        double largest = 0;
        for (ResourceDimension dimension : ALL) {
            long amount = dimension.of(amounts);
            if (amount > 0) {
                largest = Math.max(largest, amount / (double) Math.max(1, dimension.of(whole)));
            }
        }
        return largest;
    }

    /** Returns the dimension in which the amounts are the largest share of the whole. */
    static ResourceDimension dominant(Resources amounts, Resources whole) {
        ResourceDimension dominant = PROCESSOR;
        double largest = -1;
        for (ResourceDimension dimension : ALL) {
            double share = dimension.of(amounts) / (double) Math.max(1, dimension.of(whole));
            if (share > largest) {
                largest = share;
                dominant = dimension;
            }
        }
        return dominant;
    }
}
