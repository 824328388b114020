package org.marjoramnotch.commandline;

import java.util.List;
import java.util.stream.Stream;
import org.marjoramnotch.commandline.client.RulesClient;
import org.marjoramnotch.logic.configuration.NearestName;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.ExecutionOutcome;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.error.Refusal;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.KeyRule;
import org.marjoramnotch.model.rule.RuleKind;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.model.rule.RuleSubject;

/** Creates a key with a new secret and grants it to a team. */
final class KeysGrantCommand implements Subcommand {
    private static final String TEAM = "team";
    private static final String REQUESTED_BY = "requested-by";

    @Override
    public SubcommandDescription description() {
        return new SubcommandDescription(
                "keys grant",
                List.of("KEY"),
                "Grants a new key to a team and prints it once; its secret is not stored.",
                CommonOptions.withCell(
                        CommonOptions.required(TEAM, "TEAM", "Team that the key is for."),
                        CommonOptions.required(
                                REQUESTED_BY,
                                "TEXT",
                                "Who requested the key; kept as a comment.")));
    }

    @Override
    public CommandOutput run(Arguments arguments) {
        KeyId key = arguments.name(0, KeyId::new);
        KeySecret secret = KeySecret.generate();
        KeyRule rule = new KeyRule(key, arguments.name(TEAM, TeamName::new), secret.sha256());
        RuleLine line = newRuleLine(rule, arguments.required(REQUESTED_BY));
        long version = grant(new RulesClient(arguments.cell()), line, key);
        String credential = key + "." + secret.text();
        return new CommandOutput(
                credential, Json.object().put("key", credential).put("version", version));
    }

    private static RuleLine newRuleLine(KeyRule rule, String requestedBy) {
        try {
            return new RuleLine(rule, requestedBy);
        } catch (MarjoramnotchException e) {
            throw new UsageException("--" + REQUESTED_BY + ": " + e.getMessage());
        }
    }

    private static long grant(RulesClient rules, RuleLine line, KeyId key) {
        try {
            return rules.change(lines -> add(lines, line));
        } catch (MarjoramnotchException e) {
            if (e.refusal().outcome() != ExecutionOutcome.UNKNOWN) {
                throw e;
            }
            throw new MarjoramnotchException(
                    new Refusal(
                            e.code(),
                            ExecutionOutcome.UNKNOWN,
                            "Key "
                                    + key
                                    + " may have been granted, and its secret is lost; run 'rules"
                                    + " show', withdraw the key if it is there and grant it again. "
                                    + e.getMessage()));
        }
    }

    private static List<RuleLine> add(List<RuleLine> lines, RuleLine line) {
        KeyRule rule = (KeyRule) line.rule();
        if (names(lines, RuleKind.KEY).contains(rule.key().value())) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_REQUEST,
                    "Key "
                            + rule.key()
                            + " is already granted; choose another name, or withdraw it first.");
        }
        List<String> teams = names(lines, RuleKind.TEAM);
        if (!teams.contains(rule.team().value())) {
            throw new MarjoramnotchException(
                    ErrorCode.INVALID_REQUEST,
                    "No rule defines team '"
                            + rule.team()
                            + "'; "
                            + NearestName.hint(rule.team().value(), teams));
        }
        return Stream.concat(lines.stream(), Stream.of(line)).toList();
    }

    private static List<String> names(List<RuleLine> lines, RuleKind kind) {
        return lines.stream()
                .map(line -> line.rule().subject())
                .filter(subject -> subject.kind() == kind)
                .map(RuleSubject::name)
                .toList();
    }
}
