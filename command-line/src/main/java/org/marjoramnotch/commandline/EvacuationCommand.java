package org.marjoramnotch.commandline;

import java.util.List;
import org.marjoramnotch.commandline.client.OperatorRequest;
import org.marjoramnotch.model.identifier.AvailabilityZone;

/** Begins or finishes the evacuation of an availability zone. */
final class EvacuationCommand implements Subcommand {
    private final boolean begins;

    private EvacuationCommand(boolean begins) {
        this.begins = begins;
    }

    static EvacuationCommand begin() {
        return new EvacuationCommand(true);
    }

    static EvacuationCommand finish() {
        return new EvacuationCommand(false);
    }

    @Override
    public SubcommandDescription description() {
        return new SubcommandDescription(
                begins ? "evacuation begin" : "evacuation finish",
                List.of("ZONE"),
                begins
                        ? "Sends no more work to the workers of an availability zone until the"
                                + " evacuation is finished; running work continues."
                        : "Sends work to the workers of an availability zone again.",
                CommonOptions.withCell());
    }

    @Override
    public CommandOutput run(Arguments arguments) {
        AvailabilityZone zone = arguments.name(0, AvailabilityZone::new);
        String path = "/v1/operator/evacuations/" + zone;
        arguments.cell().call(new OperatorRequest(begins ? "PUT" : "DELETE", path));
        return new CommandOutput(
                "Availability zone " + zone + (begins ? " is evacuated." : " is used again."),
                Json.object().put("zone", zone.value()).put("evacuated", begins));
    }
}
