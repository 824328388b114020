package org.marjoramnotch.model.message;

import java.util.Optional;
import org.marjoramnotch.model.identifier.VmId;

/**
 * Offers to put a question to the placement advisor, and hands in what it answered to the last one.
 * Held until there is a question or the wait ends.
 *
 * @param vm the VM that asks the advisor
 * @param answer the answer to the question taken before, if there was one
 * @param waitMilliseconds longest time to hold the reply
 */
public record TakeAdviceQuestion(VmId vm, Optional<AdviceAnswer> answer, long waitMilliseconds)
        implements WorkflowRequest {}
