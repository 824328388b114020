package org.marjoramnotch.daemon.entry;

import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/** The body of a feed that reports how it ended, exactly once. */
final class WatchedFeed implements Flow.Publisher<byte[]> {
    private final Flow.Publisher<byte[]> body;
    private final Consumer<FeedEnd> end;
    private final AtomicBoolean ended = new AtomicBoolean();

    WatchedFeed(Flow.Publisher<byte[]> body, Consumer<FeedEnd> end) {
        this.body = body;
        this.end = end;
    }

    /** The way in which a feed ended. */
    enum FeedEnd {
        /** The endpoint completed the feed. */
        COMPLETE,
        /** The connection to the endpoint failed. */
        BROKEN,
        /** The caller disconnected. */
        CANCELLED
    }

    @Override
    public void subscribe(Flow.Subscriber<? super byte[]> subscriber) {
        body.subscribe(new Watcher(subscriber));
    }

    private void report(FeedEnd how) {
        if (ended.compareAndSet(false, true)) {
            end.accept(how);
        }
    }

    /** Passes everything on and reports the end. */
    private final class Watcher implements Flow.Subscriber<byte[]> {
        private final Flow.Subscriber<? super byte[]> subscriber;

        Watcher(Flow.Subscriber<? super byte[]> subscriber) {
            this.subscriber = subscriber;
        }

        @Override
        public void onSubscribe(Flow.Subscription subscription) {
            subscriber.onSubscribe(
                    new Flow.Subscription() {
                        @Override
                        public void request(long count) {
                            subscription.request(count);
                        }

                        @Override
                        public void cancel() {
                            subscription.cancel();
                            report(FeedEnd.CANCELLED);
                        }
                    });
        }

        @Override
        public void onNext(byte[] part) {
            subscriber.onNext(part);
        }

        @Override
        public void onError(Throwable failure) {
            report(FeedEnd.BROKEN);
            subscriber.onError(failure);
        }

        @Override
        public void onComplete() {
            report(FeedEnd.COMPLETE);
            subscriber.onComplete();
        }
    }
}
