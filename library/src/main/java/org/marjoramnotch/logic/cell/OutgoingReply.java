package org.marjoramnotch.logic.cell;

import org.marjoramnotch.logic.leader.RequestHandle;
import org.marjoramnotch.model.message.CellReply;

/**
 * A reply that is to be sent.
 *
 * @param handle the request that it answers
 * @param reply the reply
 */
public record OutgoingReply(RequestHandle handle, CellReply reply) {}
