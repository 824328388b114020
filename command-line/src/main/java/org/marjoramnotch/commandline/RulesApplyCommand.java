package org.marjoramnotch.commandline;

import java.util.List;
import org.marjoramnotch.commandline.client.RulesClient;
import org.marjoramnotch.logic.configuration.RuleParser;
import org.marjoramnotch.model.identifier.RequestId;

/** Replaces the rules in force by those of a file. */
final class RulesApplyCommand implements Subcommand {
    private static final String EXPECTED_VERSION = "expected-version";
    private static final String REQUEST_ID = "request-id";

    @Override
    public SubcommandDescription description() {
        return new SubcommandDescription(
                "rules apply",
                List.of("FILE"),
                "Replaces all rules by those of a file, unless they have changed in the meantime.",
                CommonOptions.withCell(
                        CommonOptions.required(
                                EXPECTED_VERSION,
                                "NUMBER",
                                "Version that the file is based on, as 'rules show' prints it."),
                        CommonOptions.optional(
                                REQUEST_ID,
                                "ID",
                                "Identifies the change; repeat it to resend the same change after a"
                                        + " lost answer. Generated if not given.")));
    }

    @Override
    public CommandOutput run(Arguments arguments) {
        String text = arguments.fileText(0);
        RuleParser.parse(text);
        long expectedVersion = arguments.version(EXPECTED_VERSION);
        RequestId request = request(arguments);
        RulesClient rules = new RulesClient(arguments.cell());
        long version = rules.apply(request, expectedVersion, text);
        return new CommandOutput(
                "The rules are in force at version " + version + ".",
                Json.object().put("version", version).put("requestId", request.value()));
    }

    private static RequestId request(Arguments arguments) {
        if (arguments.option(REQUEST_ID).isPresent()) {
            return arguments.name(REQUEST_ID, RequestId::new);
        }
        RequestId request = RulesClient.newRequestId();
        arguments.printNote("Request identifier: " + request);
        return request;
    }
}
