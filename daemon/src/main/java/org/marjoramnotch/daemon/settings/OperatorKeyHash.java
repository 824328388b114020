package org.marjoramnotch.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.regex.Pattern;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/** Reads the SHA-256 of the operator key from its file. */
public final class OperatorKeyHash {
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

    private OperatorKeyHash() {}

    /**
     * Returns the first word of the file, as {@code sha256sum} prints it, converted to 64
     * lower-case hexadecimal digits.
     *
     * @throws MarjoramnotchException with {@code INVALID_SETTINGS} if the file cannot be read or
     *     does not start with a hash
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
                    "The operator key hash file "
                            + file
                            + " cannot be read ("
                            + e.getClass().getSimpleName()
                            + "); create the file or correct operatorKeySha256File.");
        }
    }
}
