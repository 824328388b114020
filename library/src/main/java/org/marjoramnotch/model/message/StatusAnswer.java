package org.marjoramnotch.model.message;

import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import java.util.List;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;

/**
 * The status of the cell.
 *
 * @param leader the VM of the leader
 * @param term the term of the leader
 * @param commitIndex index of the last committed log entry
 * @param configurationVersion the version of the rules
 * @param voters replicas that are voting members
 * @param voterIdentities the same voters, each as its VM and the identity of its data folder
 * @param learners non-voting replicas that are catching up
 * @param endpoints number of registered endpoints
 * @param workers number of registered workers
 * @param running number of running attempts and tasks
 */
public record StatusAnswer(
        VmId leader,
        long term,
        long commitIndex,
        long configurationVersion,
        List<VmId> voters,
        @JsonSetter(nulls = Nulls.AS_EMPTY) List<ReplicaId> voterIdentities,
        List<VmId> learners,
        int endpoints,
        int workers,
        int running)
        implements CellReply {}
