package org.marjoramnotch.commandline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.marjoramnotch.commandline.client.UnreachableException;
import org.marjoramnotch.daemon.settings.DaemonSettings;
import org.marjoramnotch.logic.configuration.NearestName;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.error.Refusal;

/** Finds the command that the arguments name, runs it and prints its result or error. */
public final class CommandLineProgram {
    private static final String HELP_OPTION = "--" + CommonOptions.HELP;
    private static final String OUTPUT_OPTION = "--" + CommonOptions.OUTPUT;
    private static final String JSON = "json";
    private static final String TEXT = "text";

    private final Subcommands commands;
    private final PrintStream output;
    private final PrintStream errors;

    /**
     * Creates the program. The consumer runs a daemon with the given settings and returns when the
     * daemon has stopped.
     */
    public CommandLineProgram(
            Consumer<DaemonSettings> daemon, PrintStream output, PrintStream errors) {
        this.commands = new Subcommands(daemon);
        this.output = output;
        this.errors = errors;
    }

    /** Runs the command that the arguments name. */
    public ExitCode run(List<String> arguments) {
        if (arguments.equals(List.of(HELP_OPTION)) || arguments.equals(List.of("help"))) {
            HelpPrinter.printOverview(commands, output);
            return ExitCode.SUCCESS;
        }
        boolean json = requestsJson(arguments);
        try {
            Subcommand command =
                    commands.find(arguments).orElseThrow(() -> unknownCommand(arguments));
            int words = Subcommands.words(command).size();
            return runCommand(command, arguments.subList(words, arguments.size()));
        } catch (MarjoramnotchException e) {
            printError(e.refusal(), json);
            return exitCode(e);
        }
    }

    /**
     * Returns whether errors are printed as JSON, including those that are found before the options
     * are parsed.
     */
    private static boolean requestsJson(List<String> arguments) {
        int option = arguments.indexOf(OUTPUT_OPTION);
        return arguments.contains(OUTPUT_OPTION + "=" + JSON)
                || option >= 0 && arguments.indexOf(JSON) == option + 1;
    }

    private UsageException unknownCommand(List<String> arguments) {
        if (arguments.isEmpty()) {
            HelpPrinter.printOverview(commands, errors);
            return new UsageException("No command is given; use one of the listed commands.");
        }
        List<String> names =
                commands.all().stream().map(command -> command.description().name()).toList();
        String words = String.join(" ", arguments.subList(0, Math.min(2, arguments.size())));
        return new UsageException(
                "Unknown command '" + words + "'; " + NearestName.hint(words, names));
    }

    private ExitCode runCommand(Subcommand command, List<String> arguments) {
        SubcommandDescription description = command.description();
        Options options = new Options();
        description.options().forEach(options::addOption);
        CommonOptions.ofAll().forEach(options::addOption);
        if (arguments.contains(HELP_OPTION)) {
            HelpPrinter.printCommand(description, options, output);
            return ExitCode.SUCCESS;
        }
        CommandLine line = parse(description, options, arguments);
        boolean json = isJson(line);
        print(command.run(new Arguments(line, errors)), json);
        return ExitCode.SUCCESS;
    }

    private static CommandLine parse(
            SubcommandDescription description, Options options, List<String> arguments) {
        try {
            CommandLine line =
                    DefaultParser.builder()
                            .setAllowPartialMatching(false)
                            .get()
                            .parse(options, arguments.toArray(String[]::new));
            if (line.getArgList().size() != description.arguments().size()) {
                throw usageException("Wrong number of arguments", description);
            }
            return line;
        } catch (ParseException e) {
            throw usageException(e.getMessage(), description);
        }
    }

    private static UsageException usageException(
            String problem, SubcommandDescription description) {
        return new UsageException(
                problem
                        + "; use '"
                        + HelpPrinter.PROGRAM
                        + " "
                        + description.syntax()
                        + "' with the options that '"
                        + HelpPrinter.PROGRAM
                        + " "
                        + description.name()
                        + " "
                        + HELP_OPTION
                        + "' describes.");
    }

    private static boolean isJson(CommandLine line) {
        String form = line.getOptionValue(CommonOptions.OUTPUT, TEXT);
        if (!form.equals(JSON) && !form.equals(TEXT)) {
            throw new UsageException("--output '" + form + "' is unknown; use text or json.");
        }
        return form.equals(JSON);
    }

    private void print(CommandOutput result, boolean json) {
        output.println(json ? result.json().toString() : result.text());
    }

    private void printError(Refusal refusal, boolean json) {
        String outcome = refusal.outcome().name().toLowerCase(Locale.ROOT);
        if (json) {
            ObjectNode error = Json.object();
            error.put("code", refusal.code().name());
            error.put("outcome", outcome);
            error.put("message", refusal.message());
            errors.println(error);
        } else {
            errors.println(refusal.code() + " (" + outcome + "): " + refusal.message());
        }
    }

    private static ExitCode exitCode(MarjoramnotchException error) {
        if (error instanceof UsageException) {
            return ExitCode.USAGE;
        }
        boolean unknown =
                error instanceof UnreachableException
                        || error.refusal().outcome() == ExecutionOutcome.UNKNOWN;
        return unknown ? ExitCode.UNKNOWN : ExitCode.REFUSED;
    }
}
