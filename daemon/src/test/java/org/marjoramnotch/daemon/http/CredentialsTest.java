package org.marjoramnotch.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.apache.commons.codec.digest.DigestUtils;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.model.error.MarjoramnotchException;

class CredentialsTest {
    @ParameterizedTest
    @CsvSource({
        "'', none",
        "Basic kw-1.secret, none",
        "Bearer kw-1.secret, kw-1 + secret",
        "bearer  kw-1.secret, kw-1 + secret",
        "Bearer kw.1.secret, kw.1 + secret",
        "Bearer kw..1.secret, kw..1 + secret",
        "Bearer kw-1, KEY_REFUSED",
        "Bearer .secret, KEY_REFUSED",
        "Bearer kw-1., KEY_REFUSED",
        "Bearer kw.1., KEY_REFUSED",
        "Bearer -kw.secret, KEY_REFUSED",
    })
    void keyIsSplitFromItsSecretAtTheLastDot(String header, String expected) {
        HttpRequest request = HttpRequest.GET("/v1/jobs/j");
        if (!header.isEmpty()) {
            request = request.addHeader(RawHeader.create("Authorization", header));
        }

        assertThat(read(HttpCall.of(request, 0))).isEqualTo(withSecretDigest(expected));
    }

    private static String read(HttpCall call) {
        try {
            return Credentials.of(call)
                    .map(credential -> credential.key() + " + " + credential.secretSha256())
                    .orElse("none");
        } catch (MarjoramnotchException refused) {
            return refused.code().name();
        }
    }

    private static String withSecretDigest(String expected) {
        String[] parts = expected.split(" \\+ ");
        return parts.length == 1 ? expected : parts[0] + " + " + DigestUtils.sha256Hex(parts[1]);
    }
}
