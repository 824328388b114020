package org.marjoramnotch.daemon.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/** Reads a settings file. Relative paths in it are resolved against the folder of the file. */
public final class SettingsReader {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .addModule(new Jdk8Module())
                    .build();
    private static final List<String> PATH_FIELDS = List.of("dataFolder", "operatorKeySha256File");

    private static final String ZONES_FIELD = "availabilityZones";

    private SettingsReader() {}

    /**
     * Returns the settings of a file.
     *
     * @throws MarjoramnotchException with {@code INVALID_SETTINGS}, naming all problems at once
     */
    public static DaemonSettings read(Path file) {
        JsonNode document = parse(file);
        throwIfInvalid(file, new SettingsSchema().findProblems(document));
        DaemonSettings settings = bind(file, document);
        throwIfInvalid(file, SettingsValidator.findProblems(settings));
        return settings;
    }

    /**
     * Returns the settings of a file that was generated from a tested template. The file is bound
     * strictly and its settings are checked for consistency, but not against the JSON schema: that
     * check takes a large part of the start time, and callers wait during a restart under load.
     *
     * @throws MarjoramnotchException with {@code INVALID_SETTINGS}; the schema is then used to find
     *     the cause
     */
    public static DaemonSettings readGenerated(Path file) {
        JsonNode document = parse(file);
        try {
            DaemonSettings settings = bind(file, document);
            throwIfInvalid(file, SettingsValidator.findProblems(settings));
            return settings;
        } catch (MarjoramnotchException unbound) {
            if (document.isObject()) {
                throwIfInvalid(file, new SettingsSchema().findProblems(document));
            }
            throw unbound;
        }
    }

    private static DaemonSettings bind(Path file, JsonNode document) {
        if (!(document instanceof ObjectNode fields)) {
            throw invalid(file + " is not a JSON object; correct it.");
        }
        try {
            resolvePaths(file, fields);
            listZones(fields);
            return MAPPER.convertValue(fields, DaemonSettings.class);
        } catch (IllegalArgumentException unbound) {
            throw invalid(file + " cannot be read: " + unbound.getMessage());
        }
    }

    private static JsonNode parse(Path file) {
        try {
            return MAPPER.readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            throw invalid(
                    file
                            + " is not JSON: "
                            + e.getOriginalMessage()
                            + locationSuffix(e)
                            + "; correct it.");
        } catch (IOException e) {
            throw invalid(
                    file
                            + " cannot be read ("
                            + e.getClass().getSimpleName()
                            + "); check the path and its permissions.");
        }
    }

    private static String locationSuffix(JsonProcessingException error) {
        return error.getLocation() == null
                ? ""
                : " at line "
                        + error.getLocation().getLineNr()
                        + ", column "
                        + error.getLocation().getColumnNr();
    }

    private static void throwIfInvalid(Path file, List<String> problems) {
        if (!problems.isEmpty()) {
            throw invalid(file + " is invalid; correct:\n  " + String.join("\n  ", problems));
        }
    }

    private static void resolvePaths(Path file, ObjectNode document) {
        Path folder = file.toAbsolutePath().normalize().getParent();
        for (String field : PATH_FIELDS) {
            if (document.hasNonNull(field)) {
                Path path = folder.resolve(document.get(field).asText()).normalize();
                document.put(field, path.toString());
            }
        }
    }

    /** Replaces a table of availability zones by the list of their names, and null by none. */
    private static void listZones(ObjectNode document) {
        JsonNode zones = document.get(ZONES_FIELD);
        if (zones instanceof ObjectNode table) {
            ArrayNode names = document.putArray(ZONES_FIELD);
            table.fieldNames().forEachRemaining(names::add);
        } else if (zones != null && zones.isNull()) {
            document.remove(ZONES_FIELD);
        }
    }

    private static MarjoramnotchException invalid(String message) {
        return new MarjoramnotchException(ErrorCode.INVALID_SETTINGS, message);
    }
}
