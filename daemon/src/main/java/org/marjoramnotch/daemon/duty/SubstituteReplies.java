package org.marjoramnotch.daemon.duty;

import java.util.Optional;
import java.util.function.Consumer;
import org.marjoramnotch.logic.cell.OutgoingReply;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;
import org.marjoramnotch.model.message.Done;
import org.marjoramnotch.model.message.NotLeader;

/** Answers requests in place of a core whose decisions must not be sent. */
final class SubstituteReplies {
    private final CellOutput output;

    SubstituteReplies(CellOutput output) {
        this.output = output;
    }

    /**
     * Tells the caller that the outcome is unknown. A {@link NotLeader} reply is sent unchanged,
     * since it refuses the request anyway.
     */
    void sendAsUnknown(OutgoingReply reply) {
        boolean refused = reply.reply() instanceof NotLeader;
        output.reply(
                refused
                        ? reply
                        : new OutgoingReply(reply.handle(), new NotLeader(Optional.empty(), true)));
    }

    /** Answers an input that arrives while the disk refuses writes. */
    void refuseInput(CellInput input, Consumer<CellInput.ReadReplication> status) {
        if (input instanceof CellInput.Request request) {
            output.reply(
                    new OutgoingReply(request.handle(), NotLeader.notProcessed(Optional.empty())));
        } else if (input instanceof CellInput.Form form) {
            form.result().completeExceptionally(diskRefusesWrites());
        } else if (input instanceof CellInput.RemoveReplica remove) {
            remove.result().completeExceptionally(diskRefusesWrites());
        } else if (input instanceof CellInput.PrepareStop stop) {
            stop.result().complete(new Done());
        } else if (input instanceof CellInput.ReadReplication read) {
            status.accept(read);
        }
    }

    private static MarjoramnotchException diskRefusesWrites() {
        return new MarjoramnotchException(
                ErrorCode.STORAGE_FAILED,
                "The disk of this replica refuses writes; free space on it, or send the command to"
                        + " another replica.");
    }
}
