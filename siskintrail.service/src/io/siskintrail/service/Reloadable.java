package io.siskintrail.service;

/**
 * A service that takes changed settings while it runs.
 *
 * @param <T> the settings record
 */
public interface Reloadable<T> {

    /** Takes the settings as they are now; called on a thread of its own. */
    void reload(T settings);
}
