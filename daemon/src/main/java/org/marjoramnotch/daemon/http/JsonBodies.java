package org.marjoramnotch.daemon.http;

import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.wire.WellFormedText;

/** Reads and writes JSON bodies. A body that lacks a required property is refused. */
final class JsonBodies {
    private final ObjectMapper mapper =
            JsonMapper.builder(
                            JsonFactory.builder()
                                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                                    .build())
                    .addModule(new Jdk8Module())
                    .addModule(WellFormedText.module())
                    .defaultSetterInfo(JsonSetter.Value.forContentNulls(Nulls.FAIL))
                    .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .build();

    /**
     * Parses a JSON body.
     *
     * @throws MarjoramnotchException with {@code INVALID_REQUEST} if the body is malformed, or with
     *     the error of an invalid name in it
     */
    <T> T read(Class<T> type, byte[] body) {
        try {
            T value = mapper.readValue(body, type);
            if (value == null) {
                throw RefusalAnswers.invalidRequest("The body is empty; send a JSON object.");
            }
            return value;
        } catch (JsonProcessingException failure) {
            if (failure.getCause() instanceof MarjoramnotchException refusal) {
                throw refusal;
            }
            throw RefusalAnswers.invalidRequest(
                    "The body does not match the documented format ("
                            + failure.getOriginalMessage()
                            + "); correct it.");
        } catch (IOException | IllegalStateException failure) {
            throw RefusalAnswers.invalidRequest("The body could not be read; send it again.");
        }
    }

    /** Returns a response with a JSON body. */
    HttpResponse answer(int status, Object body) {
        try {
            return HttpResponse.of(status, HttpResponse.JSON, mapper.writeValueAsBytes(body));
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException(
                    body.getClass().getSimpleName()
                            + " cannot be serialized to JSON; make it serializable.",
                    failure);
        }
    }
}
