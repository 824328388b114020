package org.marjoramnotch.commandline;

import java.util.List;
import org.apache.commons.cli.Option;

/**
 * How a command is called.
 *
 * @param name its words, separated by spaces
 * @param arguments names of the arguments that must follow
 * @param summary what it does, one sentence
 * @param options its options
 */
public record SubcommandDescription(
        String name, List<String> arguments, String summary, List<Option> options) {
    /** Returns the name with the arguments. */
    public String syntax() {
        return arguments.isEmpty() ? name : name + " " + String.join(" ", arguments);
    }
}
