package org.marjoramnotch.commandline;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;

/** Prints help on the program and its commands. */
final class HelpPrinter {
    static final String PROGRAM = "marjoramnotch";

    private static final String EXIT_CODES =
            "Exit codes: 0 done, 1 refused without effect, 2 invalid command line,"
                    + " 3 unreachable or outcome unknown.";

    private HelpPrinter() {}

    /** Prints an overview of all commands. */
    static void printOverview(Subcommands commands, PrintStream output) {
        output.println("usage: " + PROGRAM + " COMMAND [OPTIONS]");
        output.println();
        for (Subcommand command : commands.all()) {
            SubcommandDescription description = command.description();
            output.printf("  %-20s %s%n", description.syntax(), description.summary());
        }
        output.println();
        output.println("'" + PROGRAM + " COMMAND --help' describes the options of a command.");
        output.println(EXIT_CODES);
    }

    /** Prints one command with its options. */
    static void printCommand(
            SubcommandDescription description, Options options, PrintStream output) {
        try {
            HelpFormatter.builder()
                    .setHelpAppendable(new TextHelpAppendable(output))
                    .setShowSince(false)
                    .get()
                    .printHelp(
                            PROGRAM + " " + description.syntax(),
                            description.summary(),
                            options,
                            EXIT_CODES,
                            true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
