package org.marjoramnotch.commandline;

import java.util.List;
import org.marjoramnotch.commandline.client.OperatorRequest;
import org.marjoramnotch.model.identifier.VmId;

/** Removes the replica of a VM from the group. */
final class ReplicasRemoveCommand implements Subcommand {
    @Override
    public SubcommandDescription description() {
        return new SubcommandDescription(
                "replicas remove",
                List.of("VM"),
                "Removes the replica of a VM from the group, if the VM will not come back.",
                CommonOptions.withCell());
    }

    @Override
    public CommandOutput run(Arguments arguments) {
        VmId vm = arguments.name(0, VmId::new);
        arguments.cell().call(new OperatorRequest("DELETE", "/v1/operator/replicas/" + vm));
        return new CommandOutput(
                "The replica of " + vm + " is being removed; check the progress with 'status'.",
                Json.object().put("removed", vm.value()));
    }
}
