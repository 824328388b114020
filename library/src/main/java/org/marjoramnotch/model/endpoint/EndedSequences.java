package org.marjoramnotch.model.endpoint;

import java.util.List;
import org.marjoramnotch.model.identifier.VmId;

/**
 * The ended attempts of one entry process, as a window of sequence numbers.
 *
 * @param entry the VM of the entry process
 * @param incarnation the incarnation of the entry process
 * @param first attempts with a lower sequence number have ended unless they are open
 * @param words a bit set of the ended sequence numbers, starting at {@code first}, with 64 bits per
 *     word
 */
public record EndedSequences(VmId entry, String incarnation, long first, List<Long> words) {}
