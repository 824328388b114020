package org.marjoramnotch.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.error.MarjoramnotchException;

class JsonBodiesTest {
    private final JsonBodies bodies = new JsonBodies();

    private record Change(long expectedVersion, String text) {}

    private Change read(String text) {
        return bodies.read(Change.class, text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void unknownFieldsAreIgnored() {
        assertThat(read("{\"expectedVersion\":7,\"new\":{},\"text\":\"\"}"))
                .isEqualTo(new Change(7, ""));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "null",
                "{\"expectedVersion\":7,\"text\":\"\"",
                "{\"expectedVersion\":7,\"text\":\"\"}x",
                "{\"expectedVersion\":7,\"text\":\"\"}{\"expectedVersion\":8,\"text\":\"\"}",
                "{\"expectedVersion\":7.9,\"text\":\"\"}",
                "{\"expectedVersion\":null,\"text\":\"\"}",
                "{\"expectedVersion\":7,\"text\":null}",
                "{\"expectedVersion\":7}",
                "{\"text\":\"\"}",
                "{\"expectedVersion\":7,\"expectedVersion\":8,\"text\":\"\"}",
            })
    void bodyThatCannotBeReadInFullIsRefused(String text) {
        assertThatThrownBy(() -> read(text)).isInstanceOf(MarjoramnotchException.class);
    }
}
