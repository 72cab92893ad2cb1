package io.siskintrail.storage;

import io.siskintrail.lib.Failure;
import io.siskintrail.lib.ResultCode;
import java.io.IOException;

/** Thrown when stored state cannot be read or made durable. The store is of no use afterwards. */
public final class StorageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Failure failure;

    /** Carries {@code failure}. */
    public StorageException(Failure failure) {
        super(failure.toString());
        this.failure = failure;
    }

    /** Returns what failed, with a 4xxx code. */
    public Failure failure() {
        return failure;
    }

    static StorageException failed(String what, IOException cause) {
        Failure failure = new Failure(ResultCode.STORAGE_FAILED, what + ": " + cause.getMessage());
        StorageException e = new StorageException(failure);
        e.initCause(cause);
        return e;
    }

    /** Returns the failure of a store that something else than the disk has ended. */
    static StorageException broken(Throwable cause) {
        Failure failure = new Failure(ResultCode.STORAGE_FAILED, "disk thread: " + cause);
        StorageException e = new StorageException(failure);
        e.initCause(cause);
        return e;
    }

    static StorageException damaged(ResultCode code, String file, long offset, String what) {
        return new StorageException(
                new Failure(code, "file %s, offset %d: %s".formatted(file, offset, what)));
    }
}
