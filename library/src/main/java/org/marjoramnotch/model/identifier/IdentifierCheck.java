package org.marjoramnotch.model.identifier;

import java.util.regex.Pattern;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/** Checks the form that all names share, which makes them safe in logs, paths and rule lines. */
final class IdentifierCheck {
    private static final int MAXIMUM_NAME_CHARACTERS = 128;
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]*");

    private IdentifierCheck() {}

    static void check(String what, String value) {
        if (value.length() > MAXIMUM_NAME_CHARACTERS || !NAME_PATTERN.matcher(value).matches()) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_NAME,
                    "The name of a "
                            + what
                            + " starts with a letter or digit and has at most "
                            + MAXIMUM_NAME_CHARACTERS
                            + " letters, digits, '.', '_', ':' and '-'; choose such a name.");
        }
    }
}
