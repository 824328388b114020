package org.marjoramnotch.daemon.link;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.message.CellReply;
import org.marjoramnotch.model.message.CellRequest;
import org.marjoramnotch.model.message.PlaceRequest;
import org.marjoramnotch.model.message.ReadJob;
import org.marjoramnotch.model.message.RenewWorker;
import org.marjoramnotch.model.message.TakeAdviceQuestion;

/** A request that awaits the leader's reply, with the state of its sends. */
final class PendingRequest {
    final CellRequest request;
    final long deadlineMilliseconds;
    final CompletableFuture<CellReply> result;

    /** The correlation numbers of the sends that may have had an effect or may still have one. */
    final List<Long> correlations = new ArrayList<>();

    int sendCount;
    @Nullable VmId target;
    long nextSendMilliseconds;

    PendingRequest(
            CellRequest request, long deadlineMilliseconds, CompletableFuture<CellReply> result) {
        this.request = request;
        this.deadlineMilliseconds = deadlineMilliseconds;
        this.result = result;
    }

    /** Returns how long the leader may deliberately hold back the reply. */
    long holdMilliseconds() {
        if (request instanceof PlaceRequest place) {
            return place.waitMilliseconds();
        }
        if (request instanceof ReadJob read) {
            return read.waitMilliseconds();
        }
        if (request instanceof RenewWorker renew) {
            return renew.waitMilliseconds();
        }
        if (request instanceof TakeAdviceQuestion question) {
            return question.waitMilliseconds();
        }
        return 0;
    }
}
