package org.marjoramnotch.commandline;

import java.util.List;
import org.marjoramnotch.commandline.client.RulesClient;
import org.marjoramnotch.model.message.RulesAnswer;

/** Prints the rules in force, as a file that can be edited and applied. */
final class RulesShowCommand implements Subcommand {
    @Override
    public SubcommandDescription description() {
        return new SubcommandDescription(
                "rules show",
                List.of(),
                "Prints the rules in force and their version, ready to be edited and applied.",
                CommonOptions.withCell());
    }

    @Override
    public CommandOutput run(Arguments arguments) {
        RulesAnswer rules = new RulesClient(arguments.cell()).read();
        return new CommandOutput(
                ("# version " + rules.version() + "\n" + rules.text()).stripTrailing(),
                Json.object().put("version", rules.version()).put("text", rules.text()));
    }
}
