package org.marjoramnotch.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.daemon.transport.IncomingBody;

class HttpRequestTest {
    // The host of an absolute target goes before the header Host (RFC 9112, 3.2.2).
    @ParameterizedTest
    @CsvSource({
        "/p/x, header.example, /p/x, ''",
        "/p/x?a=/b?c, header.example, /p/x, a=/b?c",
        "//p//x, header.example, //p//x, ''",
        "/http://a/b, header.example, /http://a/b, ''",
        "http://target.example/p/x?a=b, target.example, /p/x, a=b",
        "HTTP://Target.example:80/p/, Target.example:80, /p/, ''",
        "https://[::1]:80/p/, [::1]:80, /p/, ''",
        "http://target.example, target.example, /, ''",
        "http://target.example?a, target.example, /, a",
        "ftp://target.example/p, header.example, ftp://target.example/p, ''",
    })
    void targetNamesHostPathAndQuery(String target, String host, String path, String query) {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.add("Host", "header.example");
        IncomingBody body = new IncomingBody(new EmbeddedChannel(), () -> {});

        HttpRequest request = new HttpRequest("GET", target, headers, body);

        assertThat(request.host()).hasValue(host);
        assertThat(request.path()).isEqualTo(path);
        assertThat(request.query().orElse("")).isEqualTo(query);
    }
}
