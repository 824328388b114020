package org.marjoramnotch.commandline;

import java.util.List;
import org.marjoramnotch.commandline.client.OperatorClient;
import org.marjoramnotch.commandline.client.OperatorRequest;

/** Forms the group of replicas; done once in the lifetime of a cell. */
final class FormCommand implements Subcommand {
    @Override
    public SubcommandDescription description() {
        return new SubcommandDescription(
                "form",
                List.of(),
                "Forms the group of replicas, starting with the addressed replica; done once.",
                CommonOptions.withCell());
    }

    @Override
    public CommandOutput run(Arguments arguments) {
        OperatorClient cell = arguments.cell();
        // If an answer is lost, the request must not form a second group at another address.
        if (cell.addresses().size() != 1) {
            throw new UsageException(
                    "A group is formed by a single replica; give its --address and no other.");
        }
        cell.call(new OperatorRequest("POST", "/v1/operator/form"));
        return new CommandOutput(
                "The group is formed; the other replicas join automatically. Check the progress"
                        + " with 'status'.",
                Json.object().put("formed", true));
    }
}
