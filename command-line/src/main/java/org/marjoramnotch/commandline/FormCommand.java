package org.marjoramnotch.commandline;

import java.util.List;
import org.marjoramnotch.commandline.client.OperatorClient;
import org.marjoramnotch.commandline.client.OperatorRequest;

/** Forms the group of replicas, once in the life of a cell. */
final class FormCommand implements Subcommand {
    @Override
    public SubcommandDescription description() {
        return new SubcommandDescription(
                "form",
                List.of(),
                "Forms the group of replicas with the replica at the only address; done once.",
                CommonOptions.withCell());
    }

    @Override
    public CommandOutput run(Arguments arguments) {
        OperatorClient cell = arguments.cell();
        // A lost answer must not lead to a second group at another address.
        if (cell.addresses().size() != 1) {
            throw new UsageException(
                    "A group is formed by one replica; give its --address and no other.");
        }
        cell.call(new OperatorRequest("POST", "/v1/operator/form"));
        return new CommandOutput(
                "The group is formed; its other replicas join by themselves. Follow it with"
                        + " 'status'.",
                Json.object().put("formed", true));
    }
}
