package org.marjoramnotch.logic.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.rule.RuleKind;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.model.rule.RuleSubject;

/** Parses the text of the rules and reports all invalid lines at once. */
public final class RuleParser {
    private static final Pattern TEAM_LINE = Pattern.compile("team\\s+(\\S+).*");

    private final Map<RuleSubject, NumberedLine> lines = new TreeMap<>();
    private final Map<Integer, String> problems = new TreeMap<>();
    private final Set<String> teams = new TreeSet<>();

    private RuleParser() {}

    private record NumberedLine(int number, RuleLine line) {}

    /**
     * Returns the rules of a text, sorted by subject.
     *
     * @throws MarjoramnotchException with {@code INVALID_RULES}, naming every invalid line
     */
    public static List<RuleLine> parse(String text) {
        RuleParser parser = new RuleParser();
        parser.readLines(text.lines().toList());
        parser.checkTeams();
        parser.throwIfInvalid();
        return parser.lines.values().stream().map(NumberedLine::line).toList();
    }

    private void readLines(List<String> texts) {
        for (int index = 0; index < texts.size(); index++) {
            if (!RuleLineSyntax.ruleText(texts.get(index)).isEmpty()) {
                readLine(index + 1, texts.get(index));
            }
        }
    }

    private void readLine(int number, String text) {
        // A team whose own line is invalid counts as known, so that only that line is reported.
        var team = TEAM_LINE.matcher(RuleLineSyntax.ruleText(text));
        if (team.matches()) {
            teams.add(team.group(1));
        }
        try {
            add(number, RuleLineSyntax.read(text));
        } catch (MarjoramnotchException e) {
            problems.put(number, e.getMessage());
        }
    }

    private void add(int number, RuleLine line) {
        RuleSubject subject = line.rule().subject();
        NumberedLine first = lines.putIfAbsent(subject, new NumberedLine(number, line));
        if (first != null) {
            problems.put(
                    number,
                    RuleWordReader.lowerCase(subject.kind())
                            + " '"
                            + subject.name()
                            + "' already has a rule on line "
                            + first.number()
                            + "; keep one of them.");
        }
    }

    private void checkTeams() {
        for (NumberedLine numbered : lines.values()) {
            RuleReferences.requiredTeam(numbered.line().rule())
                    .filter(team -> !teams.contains(team.value()))
                    .ifPresent(
                            team ->
                                    problems.putIfAbsent(
                                            numbered.number(), unknownTeamMessage(team.value())));
        }
    }

    private String unknownTeamMessage(String team) {
        return "no rule creates "
                + RuleWordReader.lowerCase(RuleKind.TEAM)
                + " '"
                + team
                + "'; add one, or correct the name"
                + NearestName.find(team, teams).map(near -> " to '" + near + "'.").orElse(".");
    }

    private void throwIfInvalid() {
        if (problems.isEmpty()) {
            return;
        }
        List<String> messages = new ArrayList<>();
        problems.forEach((number, problem) -> messages.add("line " + number + ": " + problem));
        throw new MarjoramnotchException(
                ErrorCode.INVALID_RULES,
                "The rules are invalid; nothing was changed. Correct:\n"
                        + String.join("\n", messages));
    }
}
