package org.marjoramnotch.commandline;

import java.util.List;

/** Starts the program. */
public final class Main {
    private Main() {}

    /** Runs the command that the arguments name and ends the process with its exit code. */
    public static void main(String[] arguments) {
        CommandLineProgram program =
                new CommandLineProgram(DaemonLauncher::run, System.out, System.err);
        System.exit(program.run(List.of(arguments)).status());
    }
}
