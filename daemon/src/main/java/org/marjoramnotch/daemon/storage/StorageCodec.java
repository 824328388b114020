package org.marjoramnotch.daemon.storage;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;

/** Encodes and decodes stored records as CBOR. */
final class StorageCodec {
    private final ObjectMapper mapper =
            CBORMapper.builder()
                    .addModule(new Jdk8Module())
                    // A string that UTF-8 cannot carry must not end the process that stores it.
                    .enable(CBORGenerator.Feature.LENIENT_UTF_ENCODING)
                    .build();

    byte[] encode(Object value) throws IOException {
        return mapper.writeValueAsBytes(value);
    }

    <T> T decode(byte[] bytes, Class<T> type) throws IOException {
        return mapper.readValue(bytes, type);
    }
}
