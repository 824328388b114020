package org.marjoramnotch.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramnotch.model.identifier.VmId;

class SettingsWatcherTest {
    private static final String SETTINGS =
            """
            {"vm":"10.0.0.9","availabilityZone":"zone","roles":["entry"],"httpHost":"10.0.0.9",
            "httpPort":0,"linkHost":"10.0.0.9","linkPort":7420,
            "formation":{"seeds":["10.0.0.1:80"],"foundsGroup":false,"tolerableLosses":1}}
            """;

    @TempDir Path folder;

    private final List<DaemonSettings> taken = new ArrayList<>();

    private SettingsWatcher watch(Path file) {
        return new SettingsWatcher(file, taken::add);
    }

    @Test
    void changedSeedsAreHandedOnOnce() throws IOException {
        Path file = Files.writeString(folder.resolve("settings.json"), SETTINGS);
        SettingsWatcher watch = watch(file);
        watch.checkFile();
        Files.writeString(file, SETTINGS.replace("10.0.0.1:80", "10.0.0.2:80"));
        watch.checkFile();
        watch.checkFile();

        assertThat(taken).hasSize(1);
        assertThat(taken.get(0).replicas())
                .extracting(ReplicaAddress::vm)
                .containsExactly(new VmId("10.0.0.2"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "{\"vm\":\"10.0.0.9\"}"})
    void settingsThatAreNotValidLeaveThoseInForce(String content) throws IOException {
        Path file = Files.writeString(folder.resolve("settings.json"), SETTINGS);
        SettingsWatcher watch = watch(file);
        Files.writeString(file, content);
        watch.checkFile();

        assertThat(taken).isEmpty();
    }
}
