package org.marjoramnotch.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StringDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;

/**
 * Refuses strings with unpaired surrogates, which JSON can escape but UTF-8 cannot carry: a message
 * that contains one could be neither stored nor sent.
 */
public final class WellFormedText extends StringDeserializer {
    private static final long serialVersionUID = 1L;

    private WellFormedText() {}

    /** Returns the module that makes a mapper refuse such strings. */
    public static SimpleModule module() {
        return new SimpleModule("well-formed-text")
                .addDeserializer(String.class, new WellFormedText());
    }

    /** Returns whether each surrogate of a text is one of a pair. */
    public static boolean isWellFormed(String text) {
        int position = 0;
        while (position < text.length()) {
            int point = text.codePointAt(position);
            if (point >= Character.MIN_SURROGATE && point <= Character.MAX_SURROGATE) {
                return false;
            }
            position += Character.charCount(point);
        }
        return true;
    }

    @Override
    public String deserialize(JsonParser parser, DeserializationContext context)
            throws IOException {
        String text = super.deserialize(parser, context);
        if (text != null && !isWellFormed(text)) {
            throw context.weirdStringException(text, String.class, "it has an unpaired surrogate");
        }
        return text;
    }
}
