package io.siskintrail.pgm;

import io.siskintrail.lib.ResultCode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the files that commands name. */
final class RulesFiles {

    private RulesFiles() {}

    /** Returns the content of {@code file}. */
    static String read(Path file) throws CommandException {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw CommandException.of(
                    ResultCode.FILE_UNREADABLE, Messages.text("error.file", file, e));
        }
    }
}
