package org.marjoramnotch.commandline;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.marjoramnotch.daemon.settings.DaemonSettings;

/** All commands of the program. */
final class Subcommands {
    private final List<Subcommand> commands;

    Subcommands(Consumer<DaemonSettings> daemon) {
        commands =
                List.of(
                        new DaemonCommand(daemon),
                        new FormCommand(),
                        new StatusCommand(),
                        new ReplicasRemoveCommand(),
                        new EndpointsForgetCommand(),
                        EvacuationCommand.begin(),
                        EvacuationCommand.finish(),
                        new RulesCheckCommand(),
                        new RulesShowCommand(),
                        new RulesApplyCommand(),
                        new KeysGrantCommand(),
                        new KeysWithdrawCommand());
    }

    List<Subcommand> all() {
        return commands;
    }

    /** Returns the command whose words the arguments start with. */
    Optional<Subcommand> find(List<String> arguments) {
        return commands.stream()
                .filter(command -> startsWith(arguments, words(command)))
                .max(Comparator.comparing(command -> words(command).size()));
    }

    /** Returns the words of a command's name. */
    static List<String> words(Subcommand command) {
        return List.of(command.description().name().split(" "));
    }

    private static boolean startsWith(List<String> arguments, List<String> words) {
        return arguments.size() >= words.size() && arguments.subList(0, words.size()).equals(words);
    }
}
