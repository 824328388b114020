package org.marjoramnotch.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.regex.Pattern;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/** Reads the SHA-256 of the operator key. */
public final class OperatorKeyHash {
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

    private OperatorKeyHash() {}

    /**
     * Returns the first word of the file, 64 lower-case hexadecimal digits, as {@code sha256sum}
     * writes it.
     *
     * @throws MarjoramnotchException with {@code INVALID_SETTINGS}
     */
    public static String read(Path file) {
        String hash = firstWord(file).toLowerCase(Locale.ROOT);
        if (!SHA256.matcher(hash).matches()) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_SETTINGS,
                    file
                            + " does not start with 64 hexadecimal digits; write the SHA-256 of the"
                            + " operator key into it, as sha256sum prints it.");
        }
        return hash;
    }

    private static String firstWord(Path file) {
        try {
            return Files.readString(file).strip().split("\\s", 2)[0];
        } catch (IOException e) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_SETTINGS,
                    "The operator key hash "
                            + file
                            + " cannot be read ("
                            + e.getClass().getSimpleName()
                            + "); create the file or correct operatorKeySha256File.");
        }
    }
}
