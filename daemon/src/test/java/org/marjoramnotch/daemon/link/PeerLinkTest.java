package org.marjoramnotch.daemon.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramnotch.daemon.duty.DutyInputQueue;
import org.marjoramnotch.daemon.metrics.CountedEvent;
import org.marjoramnotch.daemon.metrics.DaemonMetrics;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.ReadRules;
import org.marjoramnotch.wire.CborMapper;
import org.marjoramnotch.wire.FrameCodec;
import org.marjoramnotch.wire.generated.Frame;

class PeerLinkTest {
    private static final long DEADLINE = 1_500;

    private final FrameCodec frames = new FrameCodec(new CborMapper());
    private final DaemonMetrics metrics = new DaemonMetrics();
    private final List<FakeConnection> opened = new ArrayList<>();
    private final List<String> lost = new ArrayList<>();
    private final PeerLink link =
            new PeerLink(
                    new VmId("vm-2"),
                    new DutyInputQueue<>(16),
                    ready -> {
                        opened.add(new FakeConnection());
                        return opened.get(opened.size() - 1);
                    },
                    frames,
                    metrics,
                    () -> lost.add("lost"),
                    DEADLINE);

    @ParameterizedTest
    @CsvSource({"1000, false, 1", "1500, false, 1", "1501, false, 2", "1000, true, 2"})
    void linkIsReplacedWhenSilentOrClosed(long silence, boolean closed, int connections) {
        link.tick(0);
        first().lastReceived = 100;
        first().closed = closed;
        link.tick(100 + silence);

        assertThat(opened).hasSize(connections);
        assertThat(lost).hasSize(connections - 1);
        assertThat(metrics.countOf(CountedEvent.LINK_REPLACED)).isEqualTo(connections - 1);
    }

    @Test
    void framesWaitUntilTheOtherSideAcceptsThem() {
        link.tick(0);
        first().ready = false;
        Frame frame = frames.heartbeat(9);
        link.receive(1, frame);
        link.flush(1);
        assertThat(first().sent).isEmpty();

        first().ready = true;
        link.flush(2);
        assertThat(first().sent).containsExactly(frame);
    }

    @Test
    void framesOfLostLinkAreDroppedAndCounted() {
        link.tick(0);
        first().ready = false;
        link.receive(1, frames.heartbeat(9));
        link.tick(DEADLINE + 1);
        link.flush(DEADLINE + 1);

        assertThat(opened.get(1).sent).isEmpty();
        assertThat(metrics.countOf(CountedEvent.MESSAGE_DROPPED)).isEqualTo(1);
        assertThat(first().closed).isTrue();
    }

    @Test
    void framesAreRefusedUntilFirstFrameIsReceived() {
        assertThat(link.offer(frames.heartbeat(1))).isFalse();
        link.tick(0);
        assertThat(link.offer(frames.heartbeat(1))).isFalse();
        first().lastReceived = 1;
        assertThat(link.offer(frames.heartbeat(1))).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"0, 60", "1000, 30", "200, 0"})
    void heartbeatsAreOnlySentWhileOtherFramesAreAbsent(long frameInterval, int maximumHeartbeats) {
        link.tick(0);
        long tickInterval = PeerLink.tickMilliseconds(DEADLINE);
        Frame request = frames.request(1, new ReadRules());
        for (long now = 1; now <= 30_000; now++) {
            if (frameInterval > 0 && now % frameInterval == 0) {
                link.receive(now, request);
                link.flush(now);
                first().lastReceived = now;
            }
            if (now % tickInterval == 0) {
                long sentBefore = first().heartbeats();
                link.tick(now);
                first().lastReceived =
                        first().heartbeats() > sentBefore ? now : first().lastReceived;
            }
        }

        assertThat(opened).hasSize(1);
        assertThat(first().heartbeats())
                .isBetween(maximumHeartbeats / 2L, (long) maximumHeartbeats);
    }

    @Test
    void heartbeatIsSentWhileFramesAreSentButNoneIsReceived() {
        link.tick(0);
        link.receive(500, frames.request(1, new ReadRules()));
        link.flush(500);
        link.tick(500);
        assertThat(first().heartbeats()).isEqualTo(1);
    }

    private FakeConnection first() {
        return opened.get(0);
    }

    private static final class FakeConnection implements LinkConnection {
        final List<Frame> sent = new ArrayList<>();
        boolean ready = true;
        boolean closed;
        long lastReceived;

        long heartbeats() {
            return sent.stream().filter(Frame::hasHeartbeat).count();
        }

        @Override
        public boolean isReady() {
            return ready;
        }

        @Override
        public void send(Frame frame) {
            sent.add(frame);
        }

        @Override
        public long lastReceivedMilliseconds() {
            return lastReceived;
        }

        @Override
        public boolean hasReceivedFrame() {
            return lastReceived > 0;
        }

        @Override
        public boolean isClosed() {
            return closed;
        }

        @Override
        public void close() {
            closed = true;
        }
    }
}
