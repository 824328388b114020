package org.marjoramnotch.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.logic.job.QueueOrder;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.AvailabilityZone;
import org.marjoramnotch.model.identifier.VmId;

class SettingsReaderTest {
    private static final String VALID =
            """
            {"vm": "vm-1", "availabilityZone": "zone-a", "roles": ["entry", "replica"],
             "httpHost": "10.0.0.1", "httpPort": 0, "linkHost": "10.0.0.1", "linkPort": 7400,
             "replicas": [{"vm": "vm-1", "host": "10.0.0.1", "port": 7400}],
             "dataFolder": "data", "operatorKeySha256File": "operator.sha256",
             "jobOrder": "urgent-first", "limits": {"queueCapacity": 500}}
            """;

    @TempDir Path folder;

    @Test
    void readsFileWithDefaultsAndRelativePaths() throws IOException {
        assertThat(SettingsReader.read(write(VALID)))
                .isEqualTo(
                        DaemonSettings.builder()
                                .vm(new VmId("vm-1"))
                                .availabilityZone(new AvailabilityZone("zone-a"))
                                .roles(Set.of(DaemonRole.ENTRY, DaemonRole.REPLICA))
                                .httpHost("10.0.0.1")
                                .httpPort(0)
                                .linkHost("10.0.0.1")
                                .linkPort(7400)
                                .replicas(
                                        List.of(
                                                new ReplicaAddress(
                                                        new VmId("vm-1"), "10.0.0.1", 7400)))
                                .dataFolder(folder.resolve("data"))
                                .operatorKeySha256File(folder.resolve("operator.sha256"))
                                .logLevel(Logger.Level.INFO)
                                .jobOrder(QueueOrder.URGENT_FIRST)
                                .limits(DaemonLimits.builder().queueCapacity(500).build())
                                .build());
    }

    static Stream<Arguments> refusesInvalidFileNamingLocationAndRemedy() {
        return Stream.of(
                Arguments.of("\"vm\"", "\"vmm\"", "unknown field 'vmm'; did you mean 'vm'?"),
                Arguments.of(
                        "\"queueCapacity\"",
                        "\"queueCapasity\"",
                        "limits: unknown field 'queueCapasity'; did you mean 'queueCapacity'?"),
                Arguments.of(
                        "\"port\"",
                        "\"prt\"",
                        "replicas[0]: unknown field 'prt'; did you mean 'port'?"),
                Arguments.of(
                        "\"dataFolder\": \"data\",",
                        "",
                        "required property 'dataFolder' not found"),
                Arguments.of(
                        "\"httpPort\": 0",
                        "\"httpPort\": 70000",
                        "httpPort: must have a maximum value of 65535"),
                Arguments.of(
                        "\"httpPort\": 0",
                        "\"httpPort\": \"0\"",
                        "httpPort: string found, integer expected"),
                Arguments.of(
                        "\"linkHost\": \"10.0.0.1\"",
                        "\"linkHost\": \"localhost\"",
                        "linkHost: is not an IPv4 address"),
                Arguments.of(
                        "\"replica\"]",
                        "\"leader\"]",
                        "roles[1]: does not have a value in the enumeration"),
                Arguments.of(
                        "[{\"vm\": \"vm-1\"",
                        "[{\"vm\": \"vm-2\"",
                        "replicas: this VM vm-1 has the role replica but is not listed"),
                Arguments.of(
                        "\"queueCapacity\": 500",
                        "\"linkDeadlineMilliseconds\": 200",
                        "limits.linkDeadlineMilliseconds: must be above"),
                Arguments.of(
                        "\"queueCapacity\": 500",
                        "\"heartbeatIntervalMilliseconds\": 900",
                        "must be at most half"),
                Arguments.of(
                        "\"queueCapacity\": 500",
                        "\"electionTimeoutMaximumMilliseconds\": 900",
                        "must be above electionTimeoutMinimum"),
                Arguments.of(
                        "\"queueCapacity\": 500",
                        "\"clientMemoryBytes\": 2000000, \"connectionMemoryBytes\": 2000001",
                        "must be at most clientMemoryBytes"),
                Arguments.of(
                        "\"vm-1\", \"availability",
                        "\"vm-1\", \"vm\": \"x\", \"availability",
                        "Duplicate field 'vm' at line 1"),
                Arguments.of("500}}", "500}", "is not JSON"));
    }

    @ParameterizedTest
    @MethodSource
    void refusesInvalidFileNamingLocationAndRemedy(String part, String replacement, String problem)
            throws IOException {
        Path file = write(VALID.replace(part, replacement));

        MarjoramnotchException error =
                catchThrowableOfType(MarjoramnotchException.class, () -> SettingsReader.read(file));

        assertThat(error.code()).isEqualTo(ErrorCode.INVALID_SETTINGS);
        assertThat(error).hasMessageContaining(problem);
    }

    @Test
    void namesEveryProblemAtOnce() throws IOException {
        Path file = write("{\"vm\": \"-\", \"roles\": [], \"colour\": 1}");

        assertThat(
                        catchThrowableOfType(
                                MarjoramnotchException.class, () -> SettingsReader.read(file)))
                .hasMessageContainingAll("vm: ", "roles: ", "'colour'", "'httpHost'", "'replicas'");
    }

    @Test
    void missingFileIsRefusedWithItsPath() {
        assertThat(
                        catchThrowableOfType(
                                MarjoramnotchException.class,
                                () -> SettingsReader.read(folder.resolve("absent.json"))))
                .hasMessageContainingAll("absent.json", "check the path");
    }

    @ParameterizedTest
    @CsvSource({
        "'E3B0C44298FC1C149AFBF4C8996FB92427AE41E4649B934CA495991B7852B855  -', true",
        "'', false",
        "'secret', false"
    })
    void operatorKeyHashIsReadAsSha256sumPrintsIt(String content, boolean valid)
            throws IOException {
        Path file = write(content);
        if (valid) {
            assertThat(OperatorKeyHash.read(file)).hasSize(64).startsWith("e3b0c442");
        } else {
            assertThat(
                            catchThrowableOfType(
                                    MarjoramnotchException.class, () -> OperatorKeyHash.read(file)))
                    .hasMessageContaining("sha256sum");
        }
    }

    private Path write(String text) throws IOException {
        return Files.writeString(folder.resolve("settings.json"), text);
    }
}
