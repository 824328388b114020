package org.marjoramnotch.model.identifier;

/**
 * Identifies a replica by its VM and the identity of its data folder, so that a VM that has lost
 * its disk counts as a different replica.
 *
 * @param vm the VM
 * @param identity generated when the data folder is created
 */
public record ReplicaId(VmId vm, String identity) implements Comparable<ReplicaId> {
    @Override
    public int compareTo(ReplicaId other) {
        int byVm = vm.compareTo(other.vm);
        return byVm != 0 ? byVm : identity.compareTo(other.identity);
    }

    @Override
    public String toString() {
        return vm + "#" + identity;
    }
}
