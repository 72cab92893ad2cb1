package io.siskintrail.control.internal.replica;

import io.siskintrail.internal.consensus.Payload;
import io.siskintrail.internal.consensus.ReplicaInput;
import io.siskintrail.internal.replicated.LogPosition;
import io.siskintrail.internal.session.NumberedCommand;
import io.siskintrail.lib.HostId;
import io.siskintrail.wire.control.ControlMessage;
import io.siskintrail.wire.control.ControlMessageCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** Remembers who proposed what and sends the replies. Used on the control thread. */
final class ProposalDesk {
    private static final int MAX_COMMAND_BYTES = 4 << 20;

    private final BiConsumer<HostId, ControlMessage> sender;
    private final Map<Long, HostId> byToken = new HashMap<>();
    private final Map<LogPosition, HostId> byPosition = new HashMap<>();
    private List<ReplicaInput.Proposal> gathered = new ArrayList<>();
    private long nextToken;

    ProposalDesk(BiConsumer<HostId, ControlMessage> sender) {
        this.sender = sender;
    }

    /** Takes proposals of a host; returns whether they are the first since {@link #takeAll}. */
    boolean gather(HostId from, ControlMessage.Propose message) {
        boolean first = gathered.isEmpty();
        for (NumberedCommand command : message.commands()) {
            if (command.command().length() > MAX_COMMAND_BYTES) {
                sender.accept(
                        from, new ControlMessage.TooLarge(command.client(), command.number()));
                continue;
            }
            nextToken++;
            byToken.put(nextToken, from);
            Payload payload = Payload.wrap(ControlMessageCodec.encode(command));
            gathered.add(new ReplicaInput.Proposal(nextToken, payload));
        }
        return first && !gathered.isEmpty();
    }

    /** Returns the gathered proposals and begins anew. */
    List<ReplicaInput.Proposal> takeAll() {
        List<ReplicaInput.Proposal> all = gathered;
        gathered = new ArrayList<>();
        return all;
    }

    void appended(long token, LogPosition position) {
        byPosition.put(position, byToken.remove(token));
    }

    void refused(long token, HostId leader) {
        sender.accept(byToken.remove(token), new ControlMessage.NotLeader(leader));
    }

    /** Sends the reply to whoever proposed the entry at {@code position} here, if anyone. */
    void applied(LogPosition position, ControlMessage reply) {
        HostId proposer = byPosition.remove(position);
        if (proposer != null && reply != null) {
            sender.accept(proposer, reply);
        }
    }

    /** Sends everyone who waits to another replica, because this one has stopped to lead. */
    void abandon(HostId leader) {
        List<HostId> waiting = byPosition.values().stream().distinct().toList();
        byPosition.clear();
        waiting.forEach(host -> sender.accept(host, new ControlMessage.NotLeader(leader)));
    }
}
