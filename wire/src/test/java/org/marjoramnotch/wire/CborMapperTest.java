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
import org.marjoramnotch.model.endpoint.PlacementSnapshot;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.StatusAnswer;

class CborMapperTest {
    static final List<CellRequest> REQUESTS =
            concat(MessageExamples.REQUESTS, WorkflowExamples.REQUESTS);
    static final List<CellReply> REPLIES =
            concat(MessageExamples.REPLIES, WorkflowExamples.REPLIES);
    static final List<Command> COMMANDS =
            concat(MessageExamples.COMMANDS, WorkflowExamples.COMMANDS);

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
                .containsExactlyInAnyOrderElementsOf(typesOf(family).toList());
    }

    /** Returns the concrete types of a sealed type and of the sealed types below it. */
    private static Stream<Class<?>> typesOf(Class<?> family) {
        return family.isSealed()
                ? Stream.of(family.getPermittedSubclasses()).flatMap(CborMapperTest::typesOf)
                : Stream.of(family);
    }

    private static <T> List<T> concat(List<T> first, List<T> second) {
        return Stream.concat(first.stream(), second.stream()).toList();
    }

    @Test
    void unknownPropertyOfNewerReleaseIsIgnored() {
        byte[] newer =
                mapper.write(NewerDone.class, new NewerDone("done", 7, Optional.of("addition")));

        assertThat(mapper.read(CellReply.class, newer)).isEqualTo(MessageExamples.DONE);
    }

    @Test
    void listsNotWrittenByAnOlderReleaseAreEmpty() {
        List<Object> none = List.of();
        byte[] snapshot =
                mapper.write(OlderSnapshot.class, new OlderSnapshot(none, none, none, none));
        byte[] status =
                mapper.write(
                        OlderStatus.class,
                        new OlderStatus("status-answer", new VmId("vm-1"), none, none));

        assertThat(mapper.read(PlacementSnapshot.class, snapshot).retired()).isEmpty();
        assertThat(mapper.read(CellReply.class, status))
                .isInstanceOfSatisfying(
                        StatusAnswer.class,
                        answer -> assertThat(answer.voterIdentities()).isEmpty());
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

    private record OlderSnapshot(
            List<Object> endpoints,
            List<Object> attempts,
            List<Object> claims,
            List<Object> ended) {}

    private record OlderStatus(
            String type, VmId leader, List<Object> voters, List<Object> learners) {}

    private record NewerDone(String type, int number, Optional<String> text) {}
}
