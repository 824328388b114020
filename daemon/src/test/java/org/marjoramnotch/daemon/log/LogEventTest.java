package org.marjoramnotch.daemon.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.FieldSource;

class LogEventTest {
    static final List<Arguments> VALUES =
            List.of(
                    Arguments.of("plain-1.2", "plain-1.2"),
                    Arguments.of("", "\"\""),
                    Arguments.of("two words", "\"two words\""),
                    Arguments.of("a=b", "\"a=b\""),
                    Arguments.of("say \"x\" \\", "\"say \\\"x\\\" \\\\\""),
                    Arguments.of("line\nevent=forged\r", "\"line\\nevent=forged\\r\""),
                    Arguments.of("\u0007", "\"\\u0007\""));

    @ParameterizedTest
    @FieldSource("VALUES")
    void valueIsQuotedWhereNeeded(String value, String written) {
        assertThat(LogEvent.of("e").with("key", value)).hasToString("event=e key=" + written);
    }

    /** Log readers split lines by this pattern, so values must be quoted unless they match it. */
    @Test
    void everyCharacterOutsideThePatternIsQuoted() {
        Pattern plain = Pattern.compile("[A-Za-z0-9._:/#+\\[\\]-]+");
        for (int character = 0; character <= Character.MAX_VALUE; character++) {
            String value = "a" + (char) character;
            String line = LogEvent.of("e").with("key", value).toString();
            assertThat(line.startsWith("event=e key=\""))
                    .as("character %x", character)
                    .isNotEqualTo(plain.matcher(value).matches());
        }
    }

    @Test
    void repeatedErrorIsLoggedOncePerInterval() {
        long[] now = {Long.MIN_VALUE / 2};
        LogRateLimiter limiter = new LogRateLimiter(() -> now[0], 1_000);

        assertThat(limiter.tryAcquire()).isEqualTo(OptionalLong.of(0));
        assertThat(limiter.tryAcquire()).isEmpty();
        now[0] += 999;
        assertThat(limiter.tryAcquire()).isEmpty();
        now[0] += 1;
        assertThat(limiter.tryAcquire()).isEqualTo(OptionalLong.of(2));
    }
}
