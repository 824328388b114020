package org.marjoramnotch.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.apache.commons.codec.digest.DigestUtils;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.daemon.transport.IncomingBody;
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
        HttpHeaders headers = new DefaultHttpHeaders();
        if (!header.isEmpty()) {
            headers.add("Authorization", header);
        }
        IncomingBody body = new IncomingBody(new EmbeddedChannel(), () -> {});
        HttpRequest request = new HttpRequest("GET", "/v1/jobs/j", headers, body);

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
