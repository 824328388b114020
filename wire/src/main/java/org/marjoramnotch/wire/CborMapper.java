package org.marjoramnotch.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.Objects;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/**
 * Reads and writes typed messages as CBOR. Unknown properties are ignored, so that processes of
 * adjacent releases can communicate during an upgrade.
 */
public final class CborMapper {
    private final ObjectMapper mapper =
            CBORMapper.builder()
                    .addModule(new Jdk8Module())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    // A string that UTF-8 cannot carry must not end the process that sends it.
                    .enable(CBORGenerator.Feature.LENIENT_UTF_ENCODING)
                    .build();

    /** Writes a message as CBOR, as a value of the declared type. */
    public <T> byte[] write(Class<T> type, T value) {
        try {
            return mapper.writerFor(type).writeValueAsBytes(value);
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException(
                    "A "
                            + type.getSimpleName()
                            + " cannot be written as CBOR; add a mapping for it.",
                    failure);
        }
    }

    /**
     * Reads a message of the declared type.
     *
     * @throws MarjoramnotchException with {@code INVALID_REQUEST} if the bytes are not such a
     *     message
     */
    public <T> T read(Class<T> type, byte[] bytes) {
        try {
            return Objects.requireNonNull(mapper.readValue(bytes, type), "it is empty");
        } catch (IOException | RuntimeException failure) {
            throw unreadable(type, String.valueOf(failure.getMessage()));
        }
    }

    private static MarjoramnotchException unreadable(Class<?> type, String cause) {
        return new MarjoramnotchException(
                ErrorCode.INVALID_REQUEST,
                "A message is not a valid "
                        + type.getSimpleName()
                        + " of this release ("
                        + cause
                        + "); run only adjacent releases side by side.");
    }
}
