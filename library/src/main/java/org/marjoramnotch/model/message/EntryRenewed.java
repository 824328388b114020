package org.marjoramnotch.model.message;

import java.util.List;
import org.marjoramnotch.model.identifier.AttemptId;

/**
 * The lease of the entry is renewed.
 *
 * @param revoked feeds to close, because their key is withdrawn
 */
public record EntryRenewed(List<AttemptId> revoked) implements CellReply {}
