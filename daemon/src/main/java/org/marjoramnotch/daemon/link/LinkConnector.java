package org.marjoramnotch.daemon.link;

/** Opens connections to one replica. */
@FunctionalInterface
interface LinkConnector {
    /**
     * Opens a new connection; it never reuses an earlier one.
     *
     * @param ready is called when the connection takes frames again
     */
    LinkConnection open(Runnable ready);
}
