package io.siskintrail.service;

import io.siskintrail.lib.Result;
import java.nio.file.Path;

/**
 * Reads the settings of a program from its file. Implementations keep no state and may be used by
 * several threads.
 *
 * @param <T> the settings
 */
@FunctionalInterface
public interface SettingsFormat<T> {
    /** Returns the settings in {@code file}, or a failure with a 2xxx code. */
    Result<T> read(Path file);

    /** Returns the format whose keys are the components of the record {@code type}. */
    static <T> SettingsFormat<T> of(Class<T> type) {
        return file -> SettingsReader.read(file, type);
    }
}
