package org.marjoramnotch.commandline;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.apache.commons.cli.CommandLine;
import org.marjoramnotch.commandline.client.OperatorClient;
import org.marjoramnotch.model.error.MarjoramnotchException;

/** The arguments of one invocation of a command, with typed access and errors. */
public final class Arguments {
    private static final Pattern VERSION = Pattern.compile("[0-9]{1,18}");
    private static final Pattern OPERATOR_KEY = Pattern.compile("[\\x21-\\x7e]+");

    private final CommandLine line;
    private final PrintStream errors;

    Arguments(CommandLine line, PrintStream errors) {
        this.line = line;
        this.errors = errors;
    }

    /** Returns whether an option without a value is given. */
    boolean has(String option) {
        return line.hasOption(option);
    }

    /** Returns the value of an option. */
    Optional<String> option(String option) {
        return Optional.ofNullable(line.getOptionValue(option));
    }

    /** Returns the value of a required option. */
    String required(String option) {
        return option(option)
                .orElseThrow(
                        () -> new UsageException("Option --" + option + " is missing; add it."));
    }

    /** Returns the argument at the position as a name. */
    <T> T name(int position, Function<String, T> identifier) {
        return readName(line.getArgList().get(position), identifier);
    }

    /** Returns the value of a required option as a name. */
    <T> T name(String option, Function<String, T> identifier) {
        return readName(required(option), identifier);
    }

    private static <T> T readName(String text, Function<String, T> identifier) {
        try {
            return identifier.apply(text);
        } catch (MarjoramnotchException e) {
            throw new UsageException("'" + text + "' is not a valid name. " + e.getMessage());
        }
    }

    /** Returns the value of a required option as a version. */
    long version(String option) {
        String text = required(option);
        if (!VERSION.matcher(text).matches()) {
            throw new UsageException(
                    "--"
                            + option
                            + " '"
                            + text
                            + "' is not a version; give the number that 'rules show' prints.");
        }
        return Long.parseLong(text);
    }

    /** Returns the text of the file that the argument at the position names. */
    String fileText(int position) {
        return read(Path.of(line.getArgList().get(position)));
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UsageException(
                    file
                            + " cannot be read as text ("
                            + e.getClass().getSimpleName()
                            + "); check the path and its permissions.");
        }
    }

    /** Prints a note for people, separate from the output. */
    void printNote(String text) {
        errors.println(text);
    }

    /** Returns a client for the cell that the options name. */
    OperatorClient cell() {
        List<URI> addresses =
                Arrays.stream(line.getOptionValues(CommonOptions.ADDRESS))
                        .map(Arguments::readAddress)
                        .toList();
        return new OperatorClient(addresses, readOperatorKey());
    }

    private String readOperatorKey() {
        Path file = Path.of(required(CommonOptions.OPERATOR_KEY_FILE));
        String key = read(file).lines().findFirst().orElse("").strip();
        if (!OPERATOR_KEY.matcher(key).matches()) {
            throw new UsageException(
                    file + " contains no operator key; write the key on its first line, in ASCII.");
        }
        return key;
    }

    private static URI readAddress(String text) {
        Optional<URI> address = parse(text);
        return address.filter(uri -> "http".equals(uri.getScheme()))
                .filter(uri -> uri.getHost() != null && uri.getPort() > 0)
                .filter(uri -> uri.getRawPath().isEmpty() || uri.getRawPath().equals("/"))
                .orElseThrow(
                        () ->
                                new UsageException(
                                        "'"
                                                + text
                                                + "' is not a valid address; write http://IP:PORT,"
                                                + " such as http://10.0.0.1:8080."));
    }

    private static Optional<URI> parse(String text) {
        try {
            return Optional.of(URI.create(text));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
