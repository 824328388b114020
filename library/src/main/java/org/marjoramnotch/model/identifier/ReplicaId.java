package org.marjoramnotch.model.identifier;

/**
 * Names a replica: a VM together with the identity of its data folder, so that a VM that has lost
 * its disk is another replica.
 *
 * @param vm the VM
 * @param identity drawn when the data folder is created
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
