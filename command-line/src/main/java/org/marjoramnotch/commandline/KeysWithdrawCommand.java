package org.marjoramnotch.commandline;

import java.util.List;
import org.marjoramnotch.commandline.client.RulesClient;
import org.marjoramnotch.logic.configuration.NearestName;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.rule.RuleKind;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.model.rule.RuleSubject;

/** Withdraws a key, so that it stops working within seconds. */
final class KeysWithdrawCommand implements Subcommand {
    @Override
    public SubcommandDescription description() {
        return new SubcommandDescription(
                "keys withdraw",
                List.of("KEY"),
                "Withdraws a key, named without its secret; it stops working within seconds.",
                CommonOptions.withCell());
    }

    @Override
    public CommandOutput run(Arguments arguments) {
        KeyId key = arguments.name(0, KeyId::new);
        RuleSubject subject = new RuleSubject(RuleKind.KEY, key.value());
        long version = new RulesClient(arguments.cell()).change(lines -> withdraw(lines, subject));
        return new CommandOutput(
                "Key " + key + " is withdrawn at version " + version + " of the rules.",
                Json.object().put("key", key.value()).put("version", version));
    }

    private static List<RuleLine> withdraw(List<RuleLine> lines, RuleSubject subject) {
        List<RuleLine> left =
                lines.stream().filter(line -> !line.rule().subject().equals(subject)).toList();
        if (left.size() == lines.size()) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_REQUEST,
                    "No rule grants key "
                            + subject.name()
                            + ", so it does not work"
                            + suggestion(subject.name(), lines));
        }
        return left;
    }

    private static String suggestion(String key, List<RuleLine> lines) {
        List<String> keys =
                lines.stream()
                        .map(line -> line.rule().subject())
                        .filter(subject -> subject.kind() == RuleKind.KEY)
                        .map(RuleSubject::name)
                        .toList();
        return NearestName.find(key, keys)
                .map(near -> "; did you mean '" + near + "'?")
                .orElse("; check the name with 'rules show'.");
    }
}
