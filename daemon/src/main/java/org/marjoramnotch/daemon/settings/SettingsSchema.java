package org.marjoramnotch.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonNodePath;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import org.marjoramnotch.logic.configuration.NearestName;

/** Checks a settings document against the JSON schema. */
final class SettingsSchema {
    private static final String RESOURCE = "settings.schema.json";
    private static final String UNKNOWN_FIELD = "additionalProperties";
    private static final String IPV4_FORMAT = "ipv4";

    private final JsonSchema schema = load();

    /** Returns all problems in alphabetical order, each with its location. */
    List<String> findProblems(JsonNode document) {
        return schema.validate(document).stream().map(this::describe).sorted().distinct().toList();
    }

    private static JsonSchema load() {
        SchemaValidatorsConfig configuration =
                SchemaValidatorsConfig.builder()
                        .formatAssertionsEnabled(true)
                        .pathType(PathType.JSON_PATH)
                        .locale(Locale.ROOT)
                        .build();
        try (InputStream resource = SettingsSchema.class.getResourceAsStream(RESOURCE)) {
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                    .getSchema(Objects.requireNonNull(resource, RESOURCE), configuration);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private String describe(ValidationMessage message) {
        String location = locationPrefix(message);
        if (UNKNOWN_FIELD.equals(message.getType())) {
            String field = message.getProperty();
            List<String> known = fieldsAt(message.getInstanceLocation());
            return location + "unknown field '" + field + "'; " + NearestName.hint(field, known);
        }
        if (IPV4_FORMAT.equals(message.getSchemaNode().asText())) {
            return location + "is not an IPv4 address; use one such as 10.0.0.1, not a host name.";
        }
        return location + message.getError();
    }

    private static String locationPrefix(ValidationMessage message) {
        String location = message.getInstanceLocation().toString().replaceFirst("^\\$\\.?", "");
        return location.isEmpty() ? "" : location + ": ";
    }

    private List<String> fieldsAt(JsonNodePath location) {
        JsonNode node = schema.getSchemaNode();
        for (int depth = 0; depth < location.getNameCount(); depth++) {
            Object step = location.getElement(depth);
            node = step instanceof Integer ? node.path("items") : propertyOf(node, step);
        }
        List<String> names = new ArrayList<>();
        node.path("properties").fieldNames().forEachRemaining(names::add);
        return names;
    }

    private static JsonNode propertyOf(JsonNode node, Object name) {
        return node.path("properties").path(name.toString());
    }
}
