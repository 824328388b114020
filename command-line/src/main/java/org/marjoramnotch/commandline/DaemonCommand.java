package org.marjoramnotch.commandline;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.cli.Option;
import org.marjoramnotch.daemon.settings.DaemonSettings;
import org.marjoramnotch.daemon.settings.OperatorKeyHash;
import org.marjoramnotch.daemon.settings.SettingsReader;

/** Runs a daemon until it is stopped, or only checks its settings. */
final class DaemonCommand implements Subcommand {
    private static final String SETTINGS = "settings";
    private static final String CHECK = "check";

    private final Consumer<DaemonSettings> daemon;

    /**
     * Creates the command. The consumer runs a daemon with the given settings and returns when the
     * daemon has stopped.
     */
    DaemonCommand(Consumer<DaemonSettings> daemon) {
        this.daemon = daemon;
    }

    @Override
    public SubcommandDescription description() {
        return new SubcommandDescription(
                "daemon",
                List.of(),
                "Runs a daemon until it is stopped by a signal.",
                List.of(
                        CommonOptions.required(
                                SETTINGS, "FILE", "Settings of the daemon, in JSON."),
                        Option.builder()
                                .longOpt(CHECK)
                                .desc("Only checks the settings, without starting the daemon.")
                                .get()));
    }

    @Override
    public CommandOutput run(Arguments arguments) {
        DaemonSettings settings = SettingsReader.read(Path.of(arguments.required(SETTINGS)));
        settings.operatorKeySha256File().ifPresent(OperatorKeyHash::read);
        if (arguments.has(CHECK)) {
            return new CommandOutput("The settings are valid.", Json.object().put("valid", true));
        }
        daemon.accept(settings);
        return new CommandOutput("The daemon has stopped.", Json.object().put("stopped", true));
    }
}
