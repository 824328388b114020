package org.marjoramnotch.model.message;

import java.util.Optional;
import org.marjoramnotch.model.identifier.VmId;

/**
 * Requests the next question for the placement advisor and delivers the advisor's answer to the
 * previous one. The reply is held until there is a question or the wait ends.
 *
 * @param vm the VM that queries the advisor
 * @param answer the answer to the previous question, if there was one
 * @param waitMilliseconds maximum time to hold the reply
 */
public record TakeAdviceQuestion(VmId vm, Optional<AdviceAnswer> answer, long waitMilliseconds)
        implements WorkflowRequest {}
