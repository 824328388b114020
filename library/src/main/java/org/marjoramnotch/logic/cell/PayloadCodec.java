package org.marjoramnotch.logic.cell;

import org.marjoramnotch.logic.ledger.LedgerSnapshot;
import org.marjoramnotch.model.command.Command;

/** Turns commands and snapshots into the bytes that the log carries, and back. */
public interface PayloadCodec {
    /** Returns the bytes of a command. */
    byte[] encode(Command command);

    /** Returns the command of bytes that {@link #encode} returned, here or on another replica. */
    Command decode(byte[] payload);

    /** Returns the bytes of a snapshot. */
    byte[] encodeSnapshot(LedgerSnapshot snapshot);

    /** Returns the snapshot of bytes that {@link #encodeSnapshot} returned. */
    LedgerSnapshot decodeSnapshot(byte[] state);
}
