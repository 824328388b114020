package org.marjoramnotch.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.logic.ledger.LedgerSnapshot;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.replication.ReplicationEnvelope;

/**
 * Guards against a renamed record component or enum constant in stored or sent records. Readers
 * skip unknown properties, so a rename loses the value without an error. The resource holds CBOR
 * that an earlier release wrote, one value a line, with an example of each command, request, reply
 * and replication message.
 */
class EarlierReleaseTest {
    private static final String RESOURCE = "earlier-release.txt";
    private static final Map<String, Class<?>> TYPES =
            Map.of(
                    "command", Command.class,
                    "request", CellRequest.class,
                    "reply", CellReply.class,
                    "replication", ReplicationEnvelope.class,
                    "snapshot", LedgerSnapshot.class);

    private final CborMapper mapper = new CborMapper();
    private final CBORMapper trees = new CBORMapper();

    static Stream<String> values() throws IOException {
        try (InputStream resource = EarlierReleaseTest.class.getResourceAsStream(RESOURCE)) {
            return new String(resource.readAllBytes(), StandardCharsets.US_ASCII).lines();
        }
    }

    @ParameterizedTest
    @MethodSource("values")
    void valueOfEarlierReleaseIsReadWhole(String line) throws IOException {
        byte[] written = bytesOf(line);

        byte[] rewritten = rewrite(TYPES.get(line.substring(0, line.indexOf(' '))), written);

        assertContains(trees.readTree(rewritten), trees.readTree(written), "");
    }

    private <T> byte[] rewrite(Class<T> type, byte[] written) {
        return mapper.write(type, mapper.read(type, written));
    }

    /** Asserts that a value has all that the expected one has; it may have more properties. */
    private static void assertContains(JsonNode actual, JsonNode expected, String path) {
        assertThat(actual.getNodeType()).as(path).isEqualTo(expected.getNodeType());
        if (expected.isObject()) {
            expected.properties()
                    .forEach(
                            property ->
                                    assertContains(
                                            actual.path(property.getKey()),
                                            property.getValue(),
                                            path + "/" + property.getKey()));
        } else if (expected.isArray()) {
            assertThat(actual.size()).as(path).isEqualTo(expected.size());
            for (int index = 0; index < expected.size(); index++) {
                assertContains(actual.get(index), expected.get(index), path + "/" + index);
            }
        } else {
            assertThat(actual).as(path).isEqualTo(expected);
        }
    }

    private static byte[] bytesOf(String line) {
        return Base64.getDecoder().decode(line.substring(line.indexOf(' ') + 1));
    }
}
