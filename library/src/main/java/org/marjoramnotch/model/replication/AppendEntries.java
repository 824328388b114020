package org.marjoramnotch.model.replication;

import java.util.List;

/**
 * Sends entries of the leader's log; without entries it is a heartbeat.
 *
 * @param group the group of the leader
 * @param term the leader's term
 * @param previousIndex the index before the first entry
 * @param previousTerm the term of the entry at that index
 * @param entries consecutive entries
 * @param commitIndex the last index that the leader knows to be committed
 * @param sentAtMilliseconds the send time by the leader's clock; it is returned in the reply
 */
public record AppendEntries(
        String group,
        long term,
        long previousIndex,
        long previousTerm,
        List<LogEntry> entries,
        long commitIndex,
        long sentAtMilliseconds)
        implements ReplicationMessage {}
