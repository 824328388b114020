package org.marjoramnotch.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ClientMemoryTest {
    private static final long KILOBYTE = 1024;
    private static final long PROCESS_BYTES = 1_000 * KILOBYTE;
    private static final long CONNECTION_BYTES = 600 * KILOBYTE;

    private final ClientMemory memory = new ClientMemory(PROCESS_BYTES, CONNECTION_BYTES);
    private final List<String> closed = new ArrayList<>();

    private ClientMemory.Account open(String name, long bytes) {
        ClientMemory.Account account = memory.open(reason -> closed.add(name + " " + reason));
        account.set(bytes);
        return account;
    }

    /** Guards against one connection that takes the budget of all. */
    @Test
    void connectionOverItsLimitIsClosedOnce() {
        ClientMemory.Account account = open("a", CONNECTION_BYTES + 1);
        account.set(CONNECTION_BYTES + 2);

        assertThat(closed).containsExactly("a CONNECTION_MEMORY");
    }

    /** Guards against ordinary callers that are closed because of others. */
    @Test
    void largestHoldersAreClosedUntilThereIsRoomForOrdinaryCallers() {
        open("ordinary", 10 * KILOBYTE);
        open("a", 300 * KILOBYTE);
        open("b", 400 * KILOBYTE);
        assertThat(closed).isEmpty();
        open("c", 350 * KILOBYTE);

        assertThat(closed).containsExactly("b PROCESS_MEMORY");
    }

    /** Guards against holders that are closed twice before their memory is free. */
    @Test
    void memoryOfConnectionsThatAreBeingClosedIsNotCounted() {
        ClientMemory.Account large = open("a", 500 * KILOBYTE);
        open("b", 300 * KILOBYTE);
        open("c", 100 * KILOBYTE);
        assertThat(closed).containsExactly("a PROCESS_MEMORY");
        large.retire();
        large.set(0);
        open("d", 100 * KILOBYTE);

        assertThat(closed).hasSize(1);
        assertThat(memory.totalBytes()).isEqualTo(500 * KILOBYTE);
    }

    /** Guards against a budget that many small holders exceed. */
    @Test
    void smallHoldersAreClosedOnlyWhenTheWholeBudgetIsUsed() {
        for (int number = 0; number < 25; number++) {
            open("small", 40 * KILOBYTE);
        }
        assertThat(closed).isEmpty();
        open("last", 41 * KILOBYTE);

        assertThat(closed).containsExactly("last PROCESS_MEMORY");
    }
}
