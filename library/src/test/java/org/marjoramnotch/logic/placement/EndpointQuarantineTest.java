package org.marjoramnotch.logic.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.endpoint.EndpointState;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.identifier.EndpointId;
import org.marjoramnotch.model.message.Granted;

class EndpointQuarantineTest {
    private static final long WAIT = 30_000;
    private static final int BURST = 8;

    private final TestConfiguration configuration =
            new TestConfiguration().team("big", 3, 1_000).team("small", 1, 1_000);
    private final TestCell cell = TestCell.create(configuration);

    private RequestHandle place(String team, long sequence) {
        return cell.send(TestCell.request(team, sequence, WAIT));
    }

    @Test
    void failingEndpointIsQuarantinedProbedAndReinstated() {
        EndpointId failing = new EndpointId("e1");
        int early = runRequests(0, 200, failing, true);
        cell.advance(1_100);
        int probes = runRequests(200, 104, failing, true);
        cell.advance(2_100);
        int later = runRequests(400, 104, failing, false);

        assertThat(early).isBetween(3, 4);
        assertThat(probes).isEqualTo(1);
        assertThat(later).isGreaterThan(10);
    }

    private int runRequests(int first, int count, EndpointId failing, boolean fails) {
        for (String name : List.of("e1", "e2", "e3", "e4")) {
            cell.announce(TestCell.endpoint(name, "i1", 2), EndpointState.ACTIVE);
        }
        int grantsOnFailing = 0;
        for (int sequence = first; sequence < first + count; sequence += BURST) {
            List<RequestHandle> burst = new ArrayList<>();
            for (int request = 0; request < BURST; request++) {
                burst.add(place("big", sequence + request));
            }
            for (RequestHandle handle : burst) {
                Granted granted = (Granted) cell.answer(handle).orElseThrow();
                boolean chosen = granted.endpoint().equals(failing);
                grantsOnFailing += chosen ? 1 : 0;
                cell.send(TestCell.end(granted.attempt(), ExecutionOutcome.RAN, chosen && fails));
            }
        }
        return grantsOnFailing;
    }
}
