package org.marjoramnotch.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.FieldSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramnotch.model.command.Command;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;

class CborMapperTest {
    static final List<CellRequest> REQUESTS = MessageExamples.REQUESTS;
    static final List<CellReply> REPLIES = MessageExamples.REPLIES;
    static final List<Command> COMMANDS = MessageExamples.COMMANDS;

    private final CborMapper mapper = new CborMapper();

    @ParameterizedTest
    @FieldSource("REQUESTS")
    void requestSurvivesRoundTrip(CellRequest request) {
        assertRoundTrip(CellRequest.class, request);
    }

    @ParameterizedTest
    @FieldSource("REPLIES")
    void replySurvivesRoundTrip(CellReply reply) {
        assertRoundTrip(CellReply.class, reply);
    }

    @ParameterizedTest
    @FieldSource("COMMANDS")
    void commandSurvivesRoundTrip(Command command) {
        assertRoundTrip(Command.class, command);
    }

    static Stream<List<?>> families() {
        return Stream.of(REQUESTS, REPLIES, COMMANDS);
    }

    @ParameterizedTest
    @MethodSource("families")
    void everyTypeOfTheFamilyHasAnExample(List<?> examples) {
        Class<?> family = examples.get(0).getClass().getInterfaces()[0];
        assertThat(examples.stream().map(Object::getClass).distinct().toList())
                .containsExactlyInAnyOrder(family.getPermittedSubclasses());
    }

    @Test
    void unknownPropertyOfNewerReleaseIsPassedOver() {
        byte[] newer =
                mapper.write(NewerDone.class, new NewerDone("done", 7, Optional.of("addition")));

        assertThat(mapper.read(CellReply.class, newer)).isEqualTo(MessageExamples.DONE);
    }

    @Test
    void damagedBytesAreRefused() {
        assertThatThrownBy(() -> mapper.read(CellReply.class, new byte[] {1, 2, 3}))
                .isInstanceOf(MarjoramnotchException.class);
    }

    private <T> void assertRoundTrip(Class<T> type, T value) {
        T read = mapper.read(type, mapper.write(type, value));

        assertThat(read).usingRecursiveComparison().isEqualTo(value);
        assertThat(read).isInstanceOf(value.getClass());
    }

    private record NewerDone(String type, int number, Optional<String> text) {}
}
