package org.marjoramnotch.commandline;

/** A command of the program. */
public interface Subcommand {
    /** Returns the description of how the command is called. */
    SubcommandDescription description();

    /**
     * Runs the command.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException if it is refused or fails
     */
    CommandOutput run(Arguments arguments);
}
