package org.marjoramnotch.model.endpoint;

import java.util.List;
import org.marjoramnotch.model.identifier.VmId;

/**
 * The ended attempts of one entry process.
 *
 * @param entry the VM of the entry
 * @param incarnation the process
 * @param first attempts below this sequence have ended unless they are open
 * @param words bits of the sequences from {@code first} on that have ended, 64 a word
 */
public record EndedSequences(VmId entry, String incarnation, long first, List<Long> words) {}
