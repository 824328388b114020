package org.marjoramnotch.daemon.storage;

import java.io.IOException;
import java.nio.file.Path;
import org.marjoramnotch.model.error.ErrorCode;
import org.marjoramnotch.model.error.MarjoramnotchException;

/** Creates the exceptions for failures of the data folder. */
final class StorageErrors {
    private StorageErrors() {}

    static MarjoramnotchException failed(Path path, IOException cause) {
        MarjoramnotchException error =
                new MarjoramnotchException(
                        ErrorCode.STORAGE_FAILED,
                        "Cannot read or write "
                                + path
                                + " ("
                                + cause
                                + "); check the disk's health, free space and permissions. A"
                                + " running replica continues once the disk accepts writes.");
        error.initCause(cause);
        return error;
    }

    static MarjoramnotchException damaged(Path path, String damage) {
        return new MarjoramnotchException(
                ErrorCode.STORAGE_DAMAGED,
                "Stored state in "
                        + path
                        + " is damaged: "
                        + damage
                        + "; move the data folder away and start the daemon with an empty one, so"
                        + " that the replica joins the group again under a new identity.");
    }

    static MarjoramnotchException locked(Path folder) {
        return new MarjoramnotchException(
                ErrorCode.STORAGE_FAILED,
                "Another process uses the data folder "
                        + folder
                        + "; stop it or name another folder in the settings.");
    }
}
