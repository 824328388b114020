package org.marjoramnotch.wire;

import com.google.protobuf.UnsafeByteOperations;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.replication.ReplicationEnvelope;
import org.marjoramnotch.wire.generated.CellReplyFrame;
import org.marjoramnotch.wire.generated.CellRequestFrame;
import org.marjoramnotch.wire.generated.Frame;
import org.marjoramnotch.wire.generated.Heartbeat;
import org.marjoramnotch.wire.generated.Hello;

/** Encodes and decodes the frames of a link between two processes. */
public final class FrameCodec {
    private final CborMapper mapper;

    /** Creates a codec that reads and writes payloads with the given mapper. */
    public FrameCodec(CborMapper mapper) {
        this.mapper = mapper;
    }

    /** Returns the first frame of a link. */
    public Frame hello(VmId vm, String incarnation) {
        return Frame.newBuilder()
                .setHello(Hello.newBuilder().setVm(vm.value()).setIncarnation(incarnation))
                .build();
    }

    /** Returns a heartbeat, which the side that accepted the link sends back unchanged. */
    public Frame heartbeat(long sequence) {
        return Frame.newBuilder()
                .setHeartbeat(Heartbeat.newBuilder().setSequence(sequence))
                .build();
    }

    /** Returns a frame with a replication message. */
    public Frame replication(ReplicationEnvelope envelope) {
        byte[] bytes = mapper.write(ReplicationEnvelope.class, envelope);
        return Frame.newBuilder().setReplication(UnsafeByteOperations.unsafeWrap(bytes)).build();
    }

    /** Returns a frame with a request to the leader and its correlation number. */
    public Frame request(long correlation, CellRequest request) {
        byte[] bytes = mapper.write(CellRequest.class, request);
        return Frame.newBuilder()
                .setCellRequest(
                        CellRequestFrame.newBuilder()
                                .setCorrelation(correlation)
                                .setRequest(UnsafeByteOperations.unsafeWrap(bytes)))
                .build();
    }

    /** Returns a frame with the reply to the request that has the same correlation number. */
    public Frame reply(long correlation, CellReply reply) {
        byte[] bytes = mapper.write(CellReply.class, reply);
        return Frame.newBuilder()
                .setCellReply(
                        CellReplyFrame.newBuilder()
                                .setCorrelation(correlation)
                                .setReply(UnsafeByteOperations.unsafeWrap(bytes)))
                .build();
    }

    /** Reads the replication message of a frame. */
    public ReplicationEnvelope replicationOf(Frame frame) {
        return mapper.read(ReplicationEnvelope.class, frame.getReplication().toByteArray());
    }

    /** Reads the request of a frame. */
    public CellRequest requestOf(CellRequestFrame frame) {
        return mapper.read(CellRequest.class, frame.getRequest().toByteArray());
    }

    /** Reads the reply of a frame. */
    public CellReply replyOf(CellReplyFrame frame) {
        return mapper.read(CellReply.class, frame.getReply().toByteArray());
    }
}
