package org.marjoramnotch.commandline;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.commandline.FakeCell.Fault;
import org.marjoramnotch.daemon.settings.DaemonSettings;
import org.marjoramnotch.model.identifier.KeyId;
import org.marjoramnotch.model.identifier.TeamName;
import org.marjoramnotch.model.rule.KeyRule;

class CommandLineProgramTest {
    private static final String NOBODY = "http://127.0.0.1:1";
    private static final String RULES = "team wards share 1 limit 2 # Aiko\n";

    @TempDir Path folder;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
    private final List<DaemonSettings> daemons = new ArrayList<>();
    private FakeCell cell;

    @BeforeEach
    void start() throws IOException {
        cell = new FakeCell();
        Files.writeString(folder.resolve("key"), FakeCell.OPERATOR_KEY + "\n");
        Files.writeString(folder.resolve("other"), "other\n");
        Files.writeString(folder.resolve("rules"), RULES);
        Files.writeString(folder.resolve("wrong-rules"), "team wards\n");
        Files.writeString(folder.resolve("operator.sha256"), DigestUtils.sha256Hex("operator-key"));
        Files.writeString(
                folder.resolve("settings"),
                """
                {"vm": "vm-1", "availabilityZone": "zone-a", "roles": ["entry"],
                 "httpHost": "127.0.0.1", "httpPort": 0, "linkHost": "127.0.0.1", "linkPort": 0,
                 "replicas": [{"vm": "vm-2", "host": "127.0.0.1", "port": 7400}],
                 "operatorKeySha256File": "operator.sha256"}
                """);
    }

    @AfterEach
    void stop() {
        cell.close();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    --help                                 | 0 | rules apply FILE
                    rules apply --help                     | 0 | --expected-version
                    rules check @rules                     | 0 | 1 rules
                    rules check @rules --output json       | 0 | {"rules":1}
                    rules check @wrong-rules               | 1 | line 1: the rule ends too early
                    rules check @absent                    | 2 | check the path
                    rules check                            | 2 | Wrong number of arguments
                    rules check @rules @rules              | 2 | Wrong number of arguments
                    rules check @rules --output xml        | 2 | use text or json
                    rules check @rules --colour            | 2 | Unrecognized option: --colour
                    rules chek @rules                      | 2 | did you mean 'rules check'?
                    rules show --address CELL              | 2 | operator-key-file
                    rules show CELL_OPTIONS                | 0 | version 0
                    rules show --address CELL --operator-key-file @other | 1 | KEY_REFUSED
                    rules show --address 10.0.0.1 --operator-key-file @key | 2 | http://IP:PORT
                    rules show --address NOBODY --operator-key-file @key | 3 | No daemon accepted
                    rules apply @rules --expected-version x CELL_OPTIONS | 2 | is not a version
                    rules apply @wrong-rules --expected-version 0 CELL_OPTIONS | 1 | line 1
                    rules apply @rules --expected-version 0 CELL_OPTIONS | 0 | version 1
                    rules apply @rules --expected-version 1 CELL_OPTIONS | 1 | VERSION_CONFLICT
                    keys grant k --team t --requested-by x CELL_OPTIONS | 1 | No rule defines team
                    keys grant -k --team t --requested-by x CELL_OPTIONS | 2 | keys grant KEY
                    keys withdraw k CELL_OPTIONS           | 1 | check the name with 'rules show'
                    status CELL_OPTIONS                    | 0 | voters: vm-1, vm-2
                    status CELL_OPTIONS                    | 0 | voterIdentities: vm-1#a, vm-2#b
                    status CELL_OPTIONS --output json      | 0 | "voters":["vm-1","vm-2"]
                    form CELL_OPTIONS                      | 0 | The group is formed
                    form CELL_OPTIONS --address NOBODY     | 2 | give its --address and no other
                    replicas remove vm-3 CELL_OPTIONS      | 0 | vm-3 is being removed
                    endpoints forget gas-1 CELL_OPTIONS    | 0 | gas-1 is forgotten
                    endpoints forget alive CELL_OPTIONS    | 1 | ENDPOINT_ALIVE
                    endpoints forget CELL_OPTIONS          | 2 | Wrong number of arguments
                    endpoints forget -x CELL_OPTIONS       | 2 | endpoints forget NAME
                    evacuation begin zone-a CELL_OPTIONS   | 0 | zone-a is evacuated
                    evacuation finish zone-a CELL_OPTIONS  | 0 | zone-a is used again
                    evacuation begin zone-x CELL_OPTIONS   | 1 | INVALID_REQUEST
                    evacuation finish CELL_OPTIONS         | 2 | evacuation finish ZONE
                    daemon --settings @settings --check    | 0 | The settings are valid
                    daemon --settings @rules --check       | 1 | is not JSON
                    daemon                                 | 2 | settings
                    """)
    void commandReturnsExitCodeAndPrintsText(String command, int exitCode, String expected) {
        assertThat(run(command)).as(errors.toString(StandardCharsets.UTF_8)).isEqualTo(exitCode);
        assertThat(printed()).contains(expected);
    }

    @ParameterizedTest
    @CsvSource({
        "NONE, 0, 0, 1",
        "ANSWER_LOST, 1, 0, 1",
        "ANSWER_CUT_SHORT, 1, 0, 1",
        "ANSWER_OF_BALANCER, 1, 0, 1",
        "NO_LEADER, 1, 0, 1",
        "ANSWER_LOST, 2, 3, 1",
        "ANSWER_CUT_SHORT, 2, 3, 1",
        "ANSWER_OF_BALANCER, 2, 3, 1",
        "NO_LEADER, 2, 3, 0"
    })
    void secondAddressIsTriedWithTheSameRequest(
            Fault fault, int times, int exitCode, long version) {
        cell.inject(fault, times);

        assertThat(run("rules apply @rules --expected-version 0 CELL_OPTIONS --address CELL"))
                .isEqualTo(exitCode);

        assertThat(cell.state().version()).isEqualTo(version);
        if (exitCode != 0) {
            assertThat(printed()).contains(version == 0 ? "(not_run)" : "(unknown)");
        }
    }

    @Test
    void resentRequestReturnsTheFirstVersion() {
        String command = "rules apply @rules --expected-version 0 --request-id r1 CELL_OPTIONS";
        run(command);
        cell.apply("");

        assertThat(run(command)).isZero();
        assertThat(printed()).contains("version 1").doesNotContain("version 2");
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "4, 0", "5, 1"})
    void grantIsRetriedAfterChangeByAnotherOperator(int conflicts, int exitCode) {
        cell.apply(RULES);
        cell.inject(Fault.CHANGED_BY_ANOTHER_OPERATOR, conflicts);

        assertThat(run("keys grant kw-1 --team wards --requested-by Aiko CELL_OPTIONS"))
                .isEqualTo(exitCode);

        Optional<KeyRule> key = cell.state().key(new KeyId("kw-1"));
        if (exitCode == 0) {
            String secret = printed().strip().substring("kw-1.".length());
            KeyRule granted =
                    new KeyRule(
                            new KeyId("kw-1"),
                            new TeamName("wards"),
                            DigestUtils.sha256Hex(secret));
            assertThat(key).contains(granted);
        } else {
            assertThat(key).isEmpty();
            assertThat(printed()).contains("VERSION_CONFLICT");
        }
    }

    @Test
    void keyIsGrantedOnceAndWithdrawn() {
        cell.apply(RULES);
        String grant = "keys grant kw-1 --team wards --requested-by Aiko CELL_OPTIONS";
        assertThat(run(grant)).isZero();
        assertThat(run(grant)).isEqualTo(1);
        assertThat(run("keys withdraw kw-2 CELL_OPTIONS")).isEqualTo(1);
        assertThat(printed()).contains("already granted", "did you mean 'kw-1'?");

        assertThat(run("keys withdraw kw-1 CELL_OPTIONS")).isZero();

        assertThat(cell.state().text()).isEqualTo(RULES);
    }

    @Test
    void lostGrantShowsNoSecretAndNamesTheRemedy() {
        cell.apply(RULES);
        cell.inject(Fault.ANSWER_LOST, 1);

        assertThat(run("keys grant kw-1 --team wards --requested-by Aiko CELL_OPTIONS"))
                .isEqualTo(3);

        assertThat(printed()).contains("withdraw the key if it is there").doesNotContain("kw-1.");
    }

    @Test
    void commentCannotAddAnotherRule() {
        cell.apply(RULES);
        List<String> arguments = new ArrayList<>(arguments("keys grant k --team wards"));
        arguments.addAll(List.of("--requested-by", "x\nteam y share 1 limit 1 # x"));
        arguments.addAll(arguments("CELL_OPTIONS"));

        assertThat(program().run(arguments)).isEqualTo(ExitCode.USAGE);
        assertThat(cell.state().text()).isEqualTo(RULES);
    }

    @Test
    void errorsAreJsonOnRequest() {
        assertThat(run("rules apply @rules --expected-version 4 CELL_OPTIONS --output json"))
                .isEqualTo(1);

        assertThat(printed()).contains("{\"code\":\"VERSION_CONFLICT\",\"outcome\":\"not_run\",");
    }

    @Test
    void daemonRunsWithItsSettings() {
        assertThat(run("daemon --settings @settings")).isZero();

        assertThat(daemons).singleElement().matches(daemon -> daemon.vm().value().equals("vm-1"));
    }

    private int run(String command) {
        return program().run(arguments(command)).status();
    }

    private CommandLineProgram program() {
        return new CommandLineProgram(
                daemons::add,
                new PrintStream(output, true, StandardCharsets.UTF_8),
                new PrintStream(errors, true, StandardCharsets.UTF_8));
    }

    private List<String> arguments(String command) {
        String expanded =
                command.replace("CELL_OPTIONS", "--address CELL --operator-key-file @key")
                        .replace("CELL", cell.address())
                        .replace("NOBODY", NOBODY)
                        .replace("@", folder + "/");
        return List.of(expanded.split(" +"));
    }

    private String printed() {
        return output.toString(StandardCharsets.UTF_8) + errors.toString(StandardCharsets.UTF_8);
    }
}
