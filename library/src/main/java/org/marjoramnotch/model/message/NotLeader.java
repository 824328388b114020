package org.marjoramnotch.model.message;

import java.util.Optional;
import org.marjoramnotch.model.identifier.VmId;

/**
 * The process is not the leader; the request was not looked at.
 *
 * @param leader the leader, if known
 */
public record NotLeader(Optional<VmId> leader) implements CellReply {}
