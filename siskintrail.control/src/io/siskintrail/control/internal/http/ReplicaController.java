package io.siskintrail.control.internal.http;

import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.siskintrail.control.internal.configuration.ControlLog;
import io.siskintrail.control.internal.replica.ReplicaStatus;
import io.siskintrail.internal.consensus.ReplicaId;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/** Tells what the replica in this process knows of the log. */
@Controller("/admin/replica")
final class ReplicaController {
    private final ControlLog log;

    ReplicaController(ControlLog log) {
        this.log = log;
    }

    /**
     * A replica.
     *
     * @param id host and disk, as {@code host:disk}
     * @param running false after a storage failure
     * @param role what it does in its term
     * @param term the latest term it knows
     * @param leader the leader of that term, null when unknown
     * @param voters the voters
     * @param learners the replicas that catch up
     * @param settled whether this set is committed
     * @param commitIndex the highest index known to be committed
     * @param lastIndex the last index of the log
     */
    record View(
            String id,
            boolean running,
            String role,
            long term,
            String leader,
            List<String> voters,
            List<String> learners,
            boolean settled,
            long commitIndex,
            long lastIndex) {
        static View of(ReplicaStatus s) {
            return new View(
                    s.id().toString(),
                    s.running(),
                    s.role().name(),
                    s.term(),
                    s.leader() == null ? null : s.leader().toString(),
                    names(s.replicas().voters()),
                    names(s.replicas().learners()),
                    s.settled(),
                    s.commitIndex(),
                    s.lastIndex());
        }

        private static List<String> names(Collection<ReplicaId> ids) {
            return ids.stream().map(ReplicaId::toString).toList();
        }
    }

    @Get
    Optional<View> replica() {
        return log.status().map(View::of);
    }
}
