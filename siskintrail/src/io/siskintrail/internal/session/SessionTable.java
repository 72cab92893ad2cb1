package io.siskintrail.internal.session;

import io.siskintrail.internal.consensus.Payload;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The sessions of all clients, as every replica and follower computes them from the log. A session
 * whose client was silent for {@link #SESSION_MILLIS} is forgotten, and commands of a forgotten
 * session are not applied.
 */
public final class SessionTable {
    /** How long a silent session is kept, by the times that leaders stamp. */
    public static final long SESSION_MILLIS = 600_000;

    /** Sessions, the one that was silent longest first. */
    private final LinkedHashMap<Long, Session> sessions = new LinkedHashMap<>();

    /** What to do with a command. */
    public sealed interface Decision {

        /** The command is to be applied, then recorded. */
        record Apply() implements Decision {}

        /**
         * The command opened a session.
         *
         * @param client the number of the session: the index of the entry that opened it, so that a
         *     late repeat opens another one and revives none
         */
        record Opened(long client) implements Decision {}

        /** The command was applied before; null when its client has had the answer. */
        record Repeated(Payload answer) implements Decision {}

        /** The session is not known; the command is not to be applied. */
        record Forgotten() implements Decision {}
    }

    /**
     * A session as a snapshot holds it.
     *
     * @param client the client
     * @param seenAtMillis the time of its latest command
     * @param floor the client has the answers to all lower numbers
     * @param answers the answers by number that the client may ask for again
     */
    public record Image(long client, long seenAtMillis, long floor, Map<Long, Payload> answers) {}

    private static final class Session {
        private final TreeMap<Long, Payload> answers = new TreeMap<>();
        private long seenAtMillis;
        private long floor;

        Image image(long client) {
            return new Image(client, seenAtMillis, floor, new TreeMap<>(answers));
        }
    }

    /**
     * Decides about the next committed command.
     *
     * @param index the index of its entry
     * @param atMillis the time that the leader stamped
     */
    public Decision decide(long index, long atMillis, NumberedCommand command) {
        forgetSilent(atMillis);
        if (command.opens()) {
            Session opened = new Session();
            opened.seenAtMillis = atMillis;
            sessions.put(index, opened);
            return new Decision.Opened(index);
        }
        Session session = sessions.remove(command.client());
        if (session == null) {
            return new Decision.Forgotten();
        }
        session.seenAtMillis = atMillis;
        session.floor = Math.max(session.floor, command.floor());
        session.answers.headMap(session.floor).clear();
        sessions.put(command.client(), session);
        if (command.number() < session.floor) {
            return new Decision.Repeated(null);
        }
        Payload answer = session.answers.get(command.number());
        return answer == null ? new Decision.Apply() : new Decision.Repeated(answer);
    }

    /** Remembers the answer to a command that was applied. */
    public void record(NumberedCommand command, Payload answer) {
        sessions.get(command.client()).answers.put(command.number(), answer);
    }

    /** Returns the sessions for a snapshot, the one that was silent longest first. */
    public List<Image> images() {
        List<Image> images = new ArrayList<>(sessions.size());
        sessions.forEach((client, s) -> images.add(s.image(client)));
        return images;
    }

    /** Replaces all sessions by those of a snapshot. */
    public void restore(List<Image> images) {
        sessions.clear();
        for (Image image : images) {
            Session session = new Session();
            session.seenAtMillis = image.seenAtMillis();
            session.floor = image.floor();
            session.answers.putAll(image.answers());
            sessions.put(image.client(), session);
        }
    }

    private void forgetSilent(long atMillis) {
        Iterator<Session> oldest = sessions.values().iterator();
        while (oldest.hasNext() && oldest.next().seenAtMillis + SESSION_MILLIS < atMillis) {
            oldest.remove();
        }
    }
}
