package org.marjoramnotch.model.message;

import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import java.util.List;
import org.marjoramnotch.model.identifier.ReplicaId;
import org.marjoramnotch.model.identifier.VmId;

/**
 * The state of the cell.
 *
 * @param leader the leader
 * @param term its term
 * @param commitIndex the last committed position of the log
 * @param configurationVersion the version of the rules
 * @param voters replicas that vote
 * @param voterIdentities the same voters, each as VM and identity of its data folder
 * @param learners replicas that catch up
 * @param endpoints endpoints registered
 * @param workers workers registered
 * @param running attempts and tasks that run
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
