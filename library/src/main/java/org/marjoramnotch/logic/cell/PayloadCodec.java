package org.marjoramnotch.logic.cell;

import org.marjoramnotch.logic.ledger.LedgerSnapshot;
import org.marjoramnotch.model.command.Command;

/** Encodes and decodes the commands and snapshots that the replicated log carries as bytes. */
public interface PayloadCodec {
    /** Encodes a command. */
    byte[] encode(Command command);

    /** Decodes a command that was encoded by {@link #encode} on this or another replica. */
    Command decode(byte[] payload);

    /** Encodes a snapshot. */
    byte[] encodeSnapshot(LedgerSnapshot snapshot);

    /** Decodes a snapshot that was encoded by {@link #encodeSnapshot}. */
    LedgerSnapshot decodeSnapshot(byte[] state);
}
