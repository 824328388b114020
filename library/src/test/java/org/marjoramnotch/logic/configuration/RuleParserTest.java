package org.marjoramnotch.logic.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.QueueName;
import org.marjoramnotch.model.identifier.ServiceName;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.QueueAccess;
import org.marjoramnotch.model.rule.QueuePolicy;
import org.marjoramnotch.model.rule.QueueRule;
import org.marjoramnotch.model.rule.Repetition;
import org.marjoramnotch.model.rule.RuleLine;
import org.marjoramnotch.model.rule.TeamRule;

class RuleParserTest {
    private static final TeamName WARDS = new TeamName("wards");

    @Test
    void readsRulesSortedAndSkipsBlankLinesAndComments() {
        String text =
                """
                # rules of Kyushu
                queue permits  private wards policy quick service gas-check once # Aiko # 2

                team wards\tshare 20 limit 64 #Aiko
                """;

        assertThat(RuleParser.parse(text))
                .containsExactly(
                        new RuleLine(new TeamRule(WARDS, 20, 64), "Aiko"),
                        new RuleLine(
                                new QueueRule(
                                        new QueueName("permits"),
                                        QueueAccess.PRIVATE,
                                        Optional.of(WARDS),
                                        QueuePolicy.QUICK,
                                        Optional.of(new ServiceName("gas-check")),
                                        Repetition.ONCE),
                                "Aiko # 2"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    team a share 1 limit 2                       | comment is missing
                    team a share 1 limit 2 #                     | comment is missing
                    teem a share 1 limit 2 # x                   | did you mean 'team'?
                    team a shares 1 limit 2 # x                  | write 'share' here
                    team a share 0 limit 2 # x                   | write a whole number from 1
                    team a share 1 limit -1 # x                  | write a whole number from 0
                    team a share 1 limit 9999999999 # x          | not a valid limit
                    team a share 1 # x                           | ends too early; add 'limit'
                    team a share 1 limit 2 3 # x                 | '3' is one word too many
                    team -a share 1 limit 2 # x                  | starts with a letter or digit
                    key k team w sha256 ABC # x                  | 64 lower-case hexadecimal digits
                    key k team w # x                             | add 'sha256'
                    queue q private policy quick once # x  | write 'policy' here
                    queue q keyed w policy batch once # x        | write 'policy' here
                    queue q opened w policy batch once # x       | did you mean 'open'?
                    queue q keyed policy bach once # x           | did you mean 'batch'?
                    queue q keyed policy quick once # x          | write 'service' here
                    queue q keyed policy feed once # x           | write 'service' here
                    queue q keyed policy batch service s # x | unknown word 'service'
                    queue q keyed policy batch # x               | add one of idempotent, once
                    queue q keyed policy batch always # x        | use one of idempotent, once
                    queue q open v policy batch once # x         | no rule creates team 'v'
                    team w share 1 limit 2 # x | already has a rule on line 1
                    """)
    void refusesInvalidLineWithItsNumberAndRemedy(String line, String remedy) {
        MarjoramnotchException error = parseError("team w share 1 limit 1 # x\n\n" + line + "\n");

        assertThat(error.code()).isEqualTo(ErrorCode.INVALID_RULES);
        assertThat(error).hasMessageContaining("line 3: ").hasMessageContaining(remedy);
    }

    @Test
    void namesEveryInvalidLineAndNoValidOne() {
        MarjoramnotchException error =
                parseError(
                        """
                        team wards share 0 limit 1 # x
                        team boats share 1 limit 1 # x
                        queue q open wards policy batch once # x
                        queue r open boat policy batch once # x
                        key k
                        """);

        assertThat(error.getMessage().lines().skip(1))
                .satisfiesExactly(
                        line -> assertThat(line).startsWith("line 1: '0' is not a valid share"),
                        line -> assertThat(line).startsWith("line 4: no rule").contains("'boats'"),
                        line -> assertThat(line).startsWith("line 5: the rule ends too early"));
    }

    static LongStream formattedRulesAreReadBackUnchanged() {
        return LongStream.rangeClosed(1, 100);
    }

    @ParameterizedTest
    @MethodSource
    void formattedRulesAreReadBackUnchanged(long seed) {
        List<RuleLine> rules = new RandomRuleGenerator(seed).nextRules();
        String text = RuleFormatter.format(rules);

        assertThat(RuleParser.parse(text)).containsExactlyInAnyOrderElementsOf(rules);
        assertThat(RuleFormatter.format(RuleParser.parse(text))).isEqualTo(text);
    }

    private static MarjoramnotchException parseError(String text) {
        return catchThrowableOfType(MarjoramnotchException.class, () -> RuleParser.parse(text));
    }
}
