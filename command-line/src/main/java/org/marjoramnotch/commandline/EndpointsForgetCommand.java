package org.marjoramnotch.commandline;

import java.util.List;
import org.marjoramnotch.commandline.client.OperatorRequest;
import org.marjoramnotch.model.identifier.EndpointId;

/**
 * Removes an endpoint whose VM is permanently gone, so that the teams whose attempts it held get
 * their slots back.
 */
final class EndpointsForgetCommand implements Subcommand {
    @Override
    public SubcommandDescription description() {
        return new SubcommandDescription(
                "endpoints forget",
                List.of("NAME"),
                "Ends the attempts of an endpoint; use it only if the platform reports that its VM"
                        + " is permanently gone.",
                CommonOptions.withCell());
    }

    @Override
    public CommandOutput run(Arguments arguments) {
        EndpointId endpoint = arguments.name(0, EndpointId::new);
        arguments.cell().call(new OperatorRequest("DELETE", "/v1/operator/endpoints/" + endpoint));
        return new CommandOutput(
                "Endpoint " + endpoint + " is forgotten.",
                Json.object().put("forgotten", endpoint.value()));
    }
}
