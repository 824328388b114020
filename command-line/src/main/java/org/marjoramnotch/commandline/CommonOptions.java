package org.marjoramnotch.commandline;

import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.cli.Option;

/** Options that several commands share. */
final class CommonOptions {
    static final String ADDRESS = "address";
    static final String OPERATOR_KEY_FILE = "operator-key-file";
    static final String OUTPUT = "output";
    static final String HELP = "help";

    private CommonOptions() {}

    /** Returns the options of a command that calls a cell. */
    static List<Option> withCell(Option... others) {
        Stream<Option> cell =
                Stream.of(
                        required(
                                ADDRESS,
                                "http://IP:PORT",
                                "Address of a daemon; several addresses are tried in the given"
                                        + " order."),
                        required(
                                OPERATOR_KEY_FILE,
                                "FILE",
                                "File with the operator key on its first line."));
        return Stream.concat(Stream.of(others), cell).toList();
    }

    /** Returns the options that every command has. */
    static List<Option> ofAll() {
        return List.of(
                optional(OUTPUT, "text|json", "Format of the output; text by default."),
                Option.builder().longOpt(HELP).desc("Describes the command.").get());
    }

    static Option required(String name, String value, String description) {
        return option(name, value, description).required().get();
    }

    static Option optional(String name, String value, String description) {
        return option(name, value, description).get();
    }

    private static Option.Builder option(String name, String value, String description) {
        return Option.builder().longOpt(name).hasArg().argName(value).desc(description);
    }
}
