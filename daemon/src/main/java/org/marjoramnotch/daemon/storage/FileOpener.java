package org.marjoramnotch.daemon.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.OpenOption;
import java.nio.file.Path;

/** Opens files and folders of a data folder; tests substitute a faulty disk. */
@FunctionalInterface
public interface FileOpener {
    /** Opens a file, or a folder to sync it. */
    FileChannel open(Path path, OpenOption... options) throws IOException;
}
