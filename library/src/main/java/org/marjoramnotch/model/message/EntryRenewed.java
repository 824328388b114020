package org.marjoramnotch.model.message;

import java.util.List;
import org.marjoramnotch.model.identifier.AttemptId;

/**
 * Confirms that the lease of an entry is renewed.
 *
 * @param revoked feeds to close because their key was withdrawn
 */
public record EntryRenewed(List<AttemptId> revoked) implements CellReply {}
