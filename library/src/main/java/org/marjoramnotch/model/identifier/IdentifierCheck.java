package org.marjoramnotch.model.identifier;

import java.util.regex.Pattern;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/** Checks the shape that all names share, so that they are safe in logs, paths and rule lines. */
final class IdentifierCheck {
    private static final int LONGEST_NAME_CHARACTERS = 128;
    private static final Pattern SHAPE = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]*");

    private IdentifierCheck() {}

    static void check(String what, String value) {
        if (value.length() > LONGEST_NAME_CHARACTERS || !SHAPE.matcher(value).matches()) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_NAME,
                    "A name of a "
                            + what
                            + " starts with a letter or digit and has at most "
                            + LONGEST_NAME_CHARACTERS
                            + " letters, digits, '.', '_', ':' and '-'; choose such a name.");
        }
    }
}
