package org.marjoramnotch.daemon.entry;

import java.util.Optional;
import org.marjoramnotch.daemon.endpoint.CompleteAnswer;
import org.marjoramnotch.model.endpoint.StoredAnswer;

/** Converts answers that are short enough to be stored for resends. */
final class StoredAnswers {
    private StoredAnswers() {}

    static Optional<StoredAnswer> of(CompleteAnswer answer) {
        if (answer.body().length > StoredAnswer.MAXIMUM_BODY_BYTES) {
            return Optional.empty();
        }
        return Optional.of(new StoredAnswer(answer.status(), answer.contentType(), answer.body()));
    }
}
