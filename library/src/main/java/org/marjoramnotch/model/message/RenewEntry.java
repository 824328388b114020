package org.marjoramnotch.model.message;

import org.marjoramnotch.model.identifier.VmId;

/**
 * Renews the lease of an entry process. Its attempts are orphaned when the lease expires.
 *
 * @param entry the VM of the entry
 * @param incarnation the incarnation of the entry process
 */
public record RenewEntry(VmId entry, String incarnation) implements CellRequest {}
