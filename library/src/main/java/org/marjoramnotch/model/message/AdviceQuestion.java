package org.marjoramnotch.model.message;

import java.util.List;
import org.marjoramnotch.model.identifier.WorkerId;
import org.marjoramnotch.model.workflow.StepId;

/**
 * A question to the placement advisor.
 *
 * @param question number of the question
 * @param step the step
 * @param workers the candidate workers for the step
 */
public record AdviceQuestion(long question, StepId step, List<WorkerId> workers)
        implements CellReply {}
