package org.marjoramnotch.logic.cell;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.marjoramnotch.logic.ledger.LedgerSnapshot;
import org.marjoramnotch.model.command.Command;

/**
 * Stands in for the wire codec: the bytes are the number of an immutable object that this codec
 * stores.
 */
final class ReferenceCodec implements PayloadCodec {
    private final List<Object> objects = new ArrayList<>();

    @Override
    public byte[] encode(Command command) {
        return store(command);
    }

    @Override
    public Command decode(byte[] payload) {
        return (Command) objects.get(ByteBuffer.wrap(payload).getInt());
    }

    @Override
    public byte[] encodeSnapshot(LedgerSnapshot snapshot) {
        return store(snapshot);
    }

    @Override
    public LedgerSnapshot decodeSnapshot(byte[] state) {
        return (LedgerSnapshot) objects.get(ByteBuffer.wrap(state).getInt());
    }

    private byte[] store(Object object) {
        objects.add(object);
        return ByteBuffer.allocate(Integer.BYTES).putInt(objects.size() - 1).array();
    }
}
