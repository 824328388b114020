package org.marjoramnotch.commandline;

import java.util.List;
import org.marjoramnotch.logic.configuration.RuleParser;

/** Checks a rules file without calling a daemon. */
final class RulesCheckCommand implements Subcommand {
    @Override
    public SubcommandDescription description() {
        return new SubcommandDescription(
                "rules check",
                List.of("FILE"),
                "Checks a rules file and reports every invalid line; calls no daemon.",
                List.of());
    }

    @Override
    public CommandOutput run(Arguments arguments) {
        int rules = RuleParser.parse(arguments.fileText(0)).size();
        return new CommandOutput(
                "The file is valid: " + rules + " rules.", Json.object().put("rules", rules));
    }
}
