package org.marjoramnotch.daemon.transport;

import io.netty.buffer.ByteBuf;

/** Takes the contents of a body; called on the event loop of its connection. */
interface BodyConsumer {
    /** Drops all contents. */
    BodyConsumer DISCARDER =
            new BodyConsumer() {
                @Override
                public boolean isReady() {
                    return true;
                }

                @Override
                public void accept(ByteBuf content) {
                    // The bytes are not wanted.
                }

                @Override
                public void complete() {
                    // Nobody waits for the end.
                }

                @Override
                public void fail(Throwable cause) {
                    // Nobody waits for the end.
                }
            };

    /** Returns whether it takes a content now. */
    boolean isReady();

    /** Returns the memory of the contents that it keeps. */
    default long keptBytes() {
        return 0;
    }

    /** Takes a content, which is released afterwards. */
    void accept(ByteBuf content);

    /** Handles the end of the body. */
    void complete();

    /** Handles that the rest of the body will not arrive. */
    void fail(Throwable failure);
}
