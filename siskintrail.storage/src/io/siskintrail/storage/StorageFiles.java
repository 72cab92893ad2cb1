package io.siskintrail.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** The few operations on files that the store needs; tests put faults in their place. */
public interface StorageFiles {

    /** Returns the names of the files in the data folder, sorted. */
    List<String> list() throws IOException;

    /** Returns the content of a file. */
    byte[] read(String name) throws IOException;

    /** Opens a file for appending; makes it when there is none. */
    Output append(String name) throws IOException;

    /** Replaces {@code to} by {@code from}, all at once. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file. */
    void delete(String name) throws IOException;

    /** Makes files that were made, renamed or deleted durable as such. */
    void syncFolder() throws IOException;

    /** A file that is open for appending. */
    interface Output extends AutoCloseable {

        /** Appends everything that remains in {@code bytes}. */
        void write(ByteBuffer bytes) throws IOException;

        /** Makes what was written durable. */
        void sync() throws IOException;

        @Override
        void close() throws IOException;
    }
}
