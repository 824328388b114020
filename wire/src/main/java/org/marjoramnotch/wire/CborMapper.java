package org.marjoramnotch.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/**
 * Reads and writes typed messages as CBOR. Properties that this release does not know are passed
 * over, so that processes of neighbouring releases understand one another during an upgrade.
 */
public final class CborMapper {
    private final ObjectMapper mapper =
            CBORMapper.builder()
                    .addModule(new Jdk8Module())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    /** Returns the CBOR form of a message, written as a value of the declared type. */
    public <T> byte[] write(Class<T> type, T value) {
        try {
            return mapper.writerFor(type).writeValueAsBytes(value);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException(
                    "A " + type.getSimpleName() + " has no CBOR form; give it one.", failure);
        }
    }

    /**
     * Reads a message of the declared type.
     *
     * @throws MarjoramnotchException with {@code INVALID_REQUEST} if the bytes are not one
     */
    public <T> T read(Class<T> type, byte[] bytes) {
        try {
            T value = mapper.readValue(bytes, type);
            if (value == null) {
                throw unreadable(type, "it is empty");
            }
            return value;
        } catch (IOException failure) {
            throw unreadable(type, String.valueOf(failure.getMessage()));
        }
    }

    private static MarjoramnotchException unreadable(Class<?> type, String cause) {
        return new MarjoramnotchException(
                ErrorCode.INVALID_REQUEST,
                "A message is no "
                        + type.getSimpleName()
                        + " of this release ("
                        + cause
                        + "); run releases side by side that are next to each other.");
    }
}
