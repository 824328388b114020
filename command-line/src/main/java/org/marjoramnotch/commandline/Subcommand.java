package org.marjoramnotch.commandline;

/** One command of the program. */
public interface Subcommand {
    /** Returns how it is called. */
    SubcommandDescription description();

    /**
     * Runs the command.
     *
     * @throws org.marjoramnotch.model.error.MarjoramnotchException if it is refused or fails
     */
    CommandOutput run(Arguments arguments);
}
