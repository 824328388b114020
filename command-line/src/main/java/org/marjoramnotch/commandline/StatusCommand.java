package org.marjoramnotch.commandline;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.stream.Collectors;
import org.marjoramnotch.commandline.client.OperatorRequest;

/** Prints the state of the cell. */
final class StatusCommand implements Subcommand {
    @Override
    public SubcommandDescription description() {
        return new SubcommandDescription(
                "status",
                List.of(),
                "Prints the leader, the replicas and the counts of the cell.",
                CommonOptions.withCell());
    }

    @Override
    public CommandOutput run(Arguments arguments) {
        JsonNode status = arguments.cell().call(new OperatorRequest("GET", "/v1/operator/status"));
        String text =
                status.properties().stream()
                        .map(field -> field.getKey() + ": " + format(field.getValue()))
                        .collect(Collectors.joining("\n"));
        return new CommandOutput(text, status);
    }

    private static String format(JsonNode value) {
        if (!value.isArray()) {
            return value.asText();
        }
        return value.isEmpty()
                ? "none"
                : value.valueStream().map(JsonNode::asText).collect(Collectors.joining(", "));
    }
}
