package org.marjoramnotch.model.message;

import org.marjoramnotch.model.identifier.VmId;

/**
 * Renews the lease of an entry process; its attempts are orphaned when the lease runs out.
 *
 * @param entry the VM
 * @param incarnation the process
 */
public record RenewEntry(VmId entry, String incarnation) implements CellRequest {}
