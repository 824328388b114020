package org.marjoramnotch.daemon.http;

import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.message.Credential;

/** Reads bearer tokens. Secrets are hashed here and are not passed on. */
final class Credentials {
    private Credentials() {}

    /**
     * Returns the team key that was sent with a call.
     *
     * @throws MarjoramnotchException with {@code KEY_REFUSED} if the token is not of the form
     *     KEY_ID.SECRET
     */
    static Optional<Credential> of(HttpCall call) {
        return BearerToken.of(call.request()).map(Credentials::parse);
    }

    private static Credential parse(String token) {
        // Key identifiers may contain dots; secrets never do.
        int dot = token.lastIndexOf('.');
        if (dot <= 0 || dot == token.length() - 1) {
            throw refused();
        }
        try {
            KeyId key = new KeyId(token.substring(0, dot));
            return new Credential(key, DigestUtils.sha256Hex(token.substring(dot + 1)));
        } catch (MarjoramnotchException invalidName) {
            throw refused();
        }
    }

    private static MarjoramnotchException refused() {
        return new MarjoramnotchException(
                ErrorCode.KEY_REFUSED,
                "The key is malformed; send it as KEY_ID.SECRET in a bearer token.");
    }
}
