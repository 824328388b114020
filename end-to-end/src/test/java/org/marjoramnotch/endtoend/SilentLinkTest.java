package org.marjoramnotch.endtoend;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SilentLinkTest {
    private static final int CALLERS = 4;
    private static final int REQUESTS_EACH = 60;

    @TempDir Path folder;

    @Test
    void silentLinksAreReplacedAndNothingRunsTwice() throws Exception {
        List<SilentRelay> relays = new ArrayList<>();
        try (Cell cell =
                        new Cell(
                                folder,
                                3,
                                1,
                                replica -> {
                                    relays.add(new SilentRelay(replica));
                                    return relays.get(relays.size() - 1).address();
                                });
                StandInEndpoints endpoints =
                        new StandInEndpoints(
                                cell.addresses().subList(0, 3), TestRules.SERVICE, 2)) {
            cell.form(TestRules.TEXT);
            String entry = cell.addresses().get(3);
            CallerLoad load =
                    new CallerLoad(
                            cell.caller(), List.of(entry), TestRules.ONCE_QUEUE, TestRules.KEY);
            Poll.until("the entry serves", () -> load.call(entry, "probe").answered());
            int before = connections(relays);
            List<CallerAnswer> answers =
                    load.run(CALLERS, REQUESTS_EACH, () -> relays.forEach(SilentRelay::silence));
            new AnswerCheck(endpoints, TestRules.ONCE_QUEUE).check(answers);
            assertThat(answers).hasSize(CALLERS * REQUESTS_EACH);
            assertThat(answers)
                    .as(
                            "refused: at most the request that each caller had open when the"
                                    + " links went silent")
                    .filteredOn(answer -> !answer.answered())
                    .hasSizeLessThanOrEqualTo(CALLERS);
            assertThat(connections(relays)).as("connections").isGreaterThan(before);
            Poll.until("the entry serves again", () -> load.call(entry, "again").answered());
            for (SilentRelay relay : relays) {
                relay.close();
            }
        }
    }

    private static int connections(List<SilentRelay> relays) {
        return relays.stream().mapToInt(SilentRelay::connections).sum();
    }
}
