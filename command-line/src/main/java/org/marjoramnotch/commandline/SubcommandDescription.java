package org.marjoramnotch.commandline;

import java.util.List;
import org.apache.commons.cli.Option;

/**
 * Describes how a command is called.
 *
 * @param name the words of the command, separated by spaces
 * @param arguments the names of the required arguments
 * @param summary what the command does, in one sentence
 * @param options the options of the command
 */
public record SubcommandDescription(
        String name, List<String> arguments, String summary, List<Option> options) {
    /** Returns the name with the arguments. */
    public String syntax() {
        return arguments.isEmpty() ? name : name + " " + String.join(" ", arguments);
    }
}
