package org.marjoramnotch.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SettingsDocumentationTest {
    private static final Path PAGE = Path.of("..", "docs", "OPERATIONS.md");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Test
    void operationsPageListsExactlyTheSettingsWithTheirDefaults() throws IOException {
        JsonNode fields =
                MAPPER.readTree(getClass().getResource("settings.schema.json")).path("properties");
        List<String> expected = new ArrayList<>();
        fields.fieldNames().forEachRemaining(name -> expected.add("| `" + name + "` | "));
        expected.remove("| `$schema` | ");
        JsonNode limits = MAPPER.valueToTree(DaemonLimits.defaults());
        fields.path("limits")
                .path("properties")
                .fieldNames()
                .forEachRemaining(
                        name ->
                                expected.add(
                                        "| `limits." + name + "` | " + limits.get(name) + " |"));

        List<String> rows =
                Files.readAllLines(PAGE).stream().filter(line -> line.startsWith("| `")).toList();

        assertThat(rows).hasSameSizeAs(expected);
        assertThat(expected)
                .allSatisfy(start -> assertThat(rows).anyMatch(row -> row.startsWith(start)));
    }
}
