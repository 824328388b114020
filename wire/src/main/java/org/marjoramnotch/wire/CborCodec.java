package org.marjoramnotch.wire;

import org.marjoramnotch.logic.cell.PayloadCodec;
import org.marjoramnotch.logic.ledger.LedgerSnapshot;
import org.marjoramnotch.model.command.Command;

/** Encodes the payloads of the replicated log as CBOR. */
public final class CborCodec implements PayloadCodec {
    private final CborMapper mapper;

    /** Creates a codec that uses the given mapper. */
    public CborCodec(CborMapper mapper) {
        this.mapper = mapper;
    }

    @Override
    public byte[] encode(Command command) {
        return mapper.write(Command.class, command);
    }

    @Override
    public Command decode(byte[] payload) {
        return mapper.read(Command.class, payload);
    }

    @Override
    public byte[] encodeSnapshot(LedgerSnapshot snapshot) {
        return mapper.write(LedgerSnapshot.class, snapshot);
    }

    @Override
    public LedgerSnapshot decodeSnapshot(byte[] state) {
        return mapper.read(LedgerSnapshot.class, state);
    }
}
