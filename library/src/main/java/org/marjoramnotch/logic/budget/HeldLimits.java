package org.marjoramnotch.logic.budget;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.marjoramnotch.model.command.RecordHeldLimit;
import org.marjoramnotch.model.identifier.VmId;
import org.marjoramnotch.model.workflow.HeldLimit;

/** The replicated record of how much state each replica can hold. */
public final class HeldLimits {
    private final Map<VmId, Long> bytesByReplica = new TreeMap<>();

    /** Restores the record from a snapshot. */
    public void restore(List<HeldLimit> limits) {
        limits.forEach(limit -> bytesByReplica.put(limit.replica(), limit.bytes()));
    }

    /** Returns the record for a snapshot. */
    public List<HeldLimit> snapshot() {
        return bytesByReplica.entrySet().stream()
                .map(entry -> new HeldLimit(entry.getKey(), entry.getValue()))
                .toList();
    }

    /** Applies a command. */
    public void apply(RecordHeldLimit record) {
        if (record.bytes() > 0) {
            bytesByReplica.put(record.replica(), record.bytes());
        } else {
            bytesByReplica.remove(record.replica());
        }
    }

    /** Returns what a replica can hold, if it has said so. */
    public OptionalLong of(VmId replica) {
        Long bytes = bytesByReplica.get(replica);
        return bytes == null ? OptionalLong.empty() : OptionalLong.of(bytes);
    }

    /** Returns the replicas with a limit. */
    public Set<VmId> replicas() {
        return Set.copyOf(bytesByReplica.keySet());
    }

    /** Returns the limit of the replica that can hold least; empty if none has said anything. */
    public OptionalLong smallest() {
        return bytesByReplica.values().stream().mapToLong(Long::longValue).min();
    }
}
