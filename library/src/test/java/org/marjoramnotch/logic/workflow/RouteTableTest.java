package org.marjoramnotch.logic.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.fleet.FleetConfiguration;
import org.marjoramnotch.model.fleet.PoolDefinition;
import org.marjoramnotch.model.fleet.QueueDefinition;
import org.marjoramnotch.model.message.CallTarget;

class RouteTableTest {
    private final RouteTable routes =
            new RouteTable(
                    new FleetConfiguration(
                            1,
                            "",
                            List.of(
                                    queue("short", "Callers.Example", "/p/"),
                                    queue("long", "callers.example.", "/p/long/"),
                                    queue("escaped", "callers.example", "/%7Eq%2f/"),
                                    queue("bare", "bare.example", "/p"),
                                    queue("port", "port.example:8080", "/p/"),
                                    queue("literal", "[::1]", "/p/")),
                            List.of(new PoolDefinition(WorkflowCell.POOL, false, false)),
                            List.of()));

    private static QueueDefinition queue(String name, String host, String prefix) {
        return TestFleet.queue(name, prefix, 0, true, Optional.empty()).at(host, prefix);
    }

    @ParameterizedTest
    @CsvSource({
        // The host and the longest prefix that the path begins with select the route.
        "callers.example, /p/5c0e7a21d94b36f8, short 5c0e7a21d94b36f8",
        "callers.example, /p/, short",
        "callers.example, /p/long/5c0e7a21d94b36f8, long 5c0e7a21d94b36f8",
        "callers.example, /p/long, INVALID_REQUEST",
        "bare.example, /p5c0e7a21d94b36f8, bare 5c0e7a21d94b36f8",
        "bare.example, /p, bare",
        "callers.example, /p, UNKNOWN_QUEUE",
        "callers.example, //p/, UNKNOWN_QUEUE",
        "callers.example, /P/, UNKNOWN_QUEUE",
        "callers.example, /, UNKNOWN_QUEUE",
        "other.example, /p/, UNKNOWN_QUEUE",
        "'', /p/, UNKNOWN_QUEUE",
        // Hosts don't depend on case (RFC 9110, 4.2.3), nor on the final dot of a complete name.
        "CALLERS.example, /p/, short",
        "callers.example., /p/, short",
        "callers.example.:80, /p/long/, long",
        "port.example, /p/, port",
        "port.example:9090, /p/, port",
        "[::1], /p/, literal",
        "[::1]:80, /p/, literal",
        // An escaped unreserved character is the character (RFC 3986, 6.2.2.2).
        "callers.example, /%70/5c0e7a21d94b36f8, short 5c0e7a21d94b36f8",
        "callers.example, /p/%35c0e7a21d94b36f8, short 5c0e7a21d94b36f8",
        "callers.example, /~q%2F/, escaped",
        "callers.example, /%7eq%2f/, escaped",
        "callers.example, /~q//, UNKNOWN_QUEUE",
        "callers.example, /%2570/, UNKNOWN_QUEUE",
        "callers.example, /%7/, UNKNOWN_QUEUE",
        "callers.example, /%zz/, UNKNOWN_QUEUE",
        // A name is 16 hexadecimal digits that the caller chose.
        "callers.example, /p/5C0E7A21D94B36F8, short 5C0E7A21D94B36F8",
        "callers.example, /p/5c0e7a21d94b36f, INVALID_REQUEST",
        "callers.example, /p/5c0e7a21d94b36g8, INVALID_REQUEST",
    })
    void callIsResolvedByHostAndPath(String host, String path, String expected) {
        assertThat(resolve(new CallTarget(host, path, Optional.empty()))).isEqualTo(expected);
    }

    private String resolve(CallTarget target) {
        try {
            RouteTable.Route route = routes.resolve(target);
            return route.queue().name()
                    + route.workflow().map(workflow -> " " + workflow).orElse("");
        } catch (MarjoramnotchException refusal) {
            return refusal.code().name();
        }
    }
}
