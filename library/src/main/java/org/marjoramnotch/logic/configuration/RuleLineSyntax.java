package org.marjoramnotch.logic.configuration;

import org.marjoramnotch.model.rule.KeyRule;
import org.marjoramnotch.model.rule.QueueRule;
import org.marjoramnotch.model.rule.Rule;
import org.marjoramnotch.model.rule.RuleKind;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.model.rule.TeamRule;

/**
 * Reads and writes one line: the kind of rule, the rule, {@code #} and a comment that names who
 * requested it.
 */
final class RuleLineSyntax {
    private static final char COMMENT = '#';
    private static final TeamRuleSyntax TEAM = new TeamRuleSyntax();
    private static final KeyRuleSyntax KEY = new KeyRuleSyntax();
    private static final QueueRuleSyntax QUEUE = new QueueRuleSyntax();

    private RuleLineSyntax() {}

    /** Returns the part of a line before its comment, without surrounding whitespace. */
    static String ruleText(String line) {
        int comment = line.indexOf(COMMENT);
        return (comment < 0 ? line : line.substring(0, comment)).strip();
    }

    /** Reads a line that contains a rule. */
    static RuleLine read(String line) {
        RuleWordReader words = RuleWordReader.of(ruleText(line));
        Rule rule = readRule(words.readConstant(RuleKind.class), words);
        words.expectEnd();
        return new RuleLine(rule, readComment(line));
    }

    private static Rule readRule(RuleKind kind, RuleWordReader words) {
        return switch (kind) {
            case TEAM -> TEAM.read(words);
            case KEY -> KEY.read(words);
            case QUEUE -> QUEUE.read(words);
        };
    }

    private static String readComment(String line) {
        int comment = line.indexOf(COMMENT);
        return comment < 0 ? "" : line.substring(comment + 1);
    }

    /** Returns the line that {@link #read} reads, without a line break. */
    static String write(RuleLine line) {
        Rule rule = line.rule();
        return RuleWordReader.lowerCase(rule.subject().kind())
                + " "
                + writeRule(rule)
                + " "
                + COMMENT
                + " "
                + line.requestedBy();
    }

    private static String writeRule(Rule rule) {
        if (rule instanceof TeamRule team) {
            return TEAM.write(team);
        }
        if (rule instanceof KeyRule key) {
            return KEY.write(key);
        }
        return QUEUE.write((QueueRule) rule);
    }
}
