package org.marjoramnotch.daemon.link;

/** Opens connections to one replica. */
@FunctionalInterface
interface LinkConnector {
    /**
     * Opens a new connection; it never reuses an earlier one.
     *
     * @param ready called when the connection accepts frames again
     */
    LinkConnection open(Runnable ready);
}
