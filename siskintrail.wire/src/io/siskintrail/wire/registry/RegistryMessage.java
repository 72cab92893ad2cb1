package io.siskintrail.wire.registry;

import io.siskintrail.internal.rollout.RolloutRecord;
import io.siskintrail.internal.traffic.admission.RetryUsage;
import io.siskintrail.internal.traffic.admission.WaitingRequest;
import io.siskintrail.internal.traffic.crash.CrashSignature;
import io.siskintrail.internal.traffic.crash.CrashSuspect;
import io.siskintrail.internal.traffic.endpoint.EndpointRecord;
import io.siskintrail.internal.traffic.endpoint.PlacedLoad;
import io.siskintrail.internal.traffic.placement.EngineSpeed;
import io.siskintrail.internal.traffic.placement.PrefilledPrompt;
import io.siskintrail.internal.traffic.placement.PromptPart;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.HostId;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A message among registries, or between a registry and an edge. */
public sealed interface RegistryMessage {

    /** Tells what endpoints said of themselves; among registries also when nothing changed. */
    record Endpoints(List<EndpointRecord> records) implements RegistryMessage {}

    /**
     * Tells what a registry knows.
     *
     * @param version the newest configuration that it holds; 0 for none
     * @param current whether it was lately confirmed that there is no newer one
     * @param registries the hosts that run registries
     * @param edges how many edges follow it
     * @param rollouts the newest rollout of each service that it holds
     */
    record Status(
            long version,
            boolean current,
            List<HostId> registries,
            int edges,
            List<RolloutRecord> rollouts)
            implements RegistryMessage {}

    /** Asks for the newest configuration if its version is above {@code version}. */
    record FetchAbove(long version) implements RegistryMessage {}

    /** Carries a configuration in the form in which operators sent it. */
    record Content(long version, byte[] content) implements RegistryMessage {}

    /** Asks the leader to commit a command. */
    record Propose(long token, byte[] command) implements RegistryMessage {}

    /** Tells at which index the command {@code token} was committed; -1 when it was not taken. */
    record Proposed(long token, long index) implements RegistryMessage {}

    /** Asks the leader from which index on a read is linearizable. */
    record Read(long token) implements RegistryMessage {}

    /** Answers {@link Read}; the index is -1 when the receiver cannot tell. */
    record ReadAt(long token, long index) implements RegistryMessage {}

    /** Tells which requests of an edge an endpoint that died had not begun to answer. */
    record Death(HostId host, EndpointId endpoint, List<CrashSuspect> suspects)
            implements RegistryMessage {

        /** Copies the list. */
        public Death {
            suspects = List.copyOf(suspects);
        }
    }

    /** Tells that requests with this signature are refused for a while, or no longer if 0. */
    record Refusal(CrashSignature signature, long millis) implements RegistryMessage {}

    /** Tells that an edge drains, and for how many milliseconds it expects to. */
    record Draining(HostId host, long millis) implements RegistryMessage {}

    /**
     * Tells that endpoints answered requests with each of these prompt parts for an edge, so many
     * milliseconds ago.
     */
    record Sound(HostId host, Map<PromptPart, Long> ageMillis) implements RegistryMessage {

        /** Copies the map. */
        public Sound {
            ageMillis = Map.copyOf(ageMillis);
        }
    }

    /** Tells what edges have placed on endpoints. */
    record Loads(List<HostLoads> hosts) implements RegistryMessage {}

    /**
     * What one edge has placed.
     *
     * @param host the edge
     * @param complete whether it has placed nothing but {@code loads}; otherwise these are the
     *     endpoints where that changed
     * @param loads its loads
     * @param prompts the prompts that were read for it since it told last
     * @param waiting all requests that wait at the edge; empty if that has not changed since it
     *     told last
     * @param speeds the speeds of engines that it measured since it told last
     * @param retries its requests and retries in the current window, by service, where they changed
     */
    record HostLoads(
            HostId host,
            boolean complete,
            List<PlacedLoad> loads,
            List<PrefilledPrompt> prompts,
            Optional<List<WaitingRequest>> waiting,
            List<EngineSpeed> speeds,
            List<RetryUsage> retries) {

        /** Copies the lists. */
        public HostLoads {
            loads = List.copyOf(loads);
            prompts = List.copyOf(prompts);
            waiting = waiting.map(List::copyOf);
            speeds = List.copyOf(speeds);
            retries = List.copyOf(retries);
        }

        /** Creates the word of an edge whose use of retries has not changed. */
        public HostLoads(
                HostId host,
                boolean complete,
                List<PlacedLoad> loads,
                List<PrefilledPrompt> prompts,
                Optional<List<WaitingRequest>> waiting,
                List<EngineSpeed> speeds) {
            this(host, complete, loads, prompts, waiting, speeds, List.of());
        }

        /** Creates the word of an edge whose waiting requests have not changed. */
        public HostLoads(
                HostId host,
                boolean complete,
                List<PlacedLoad> loads,
                List<PrefilledPrompt> prompts) {
            this(host, complete, loads, prompts, Optional.empty(), List.of());
        }

        /** Returns the word that {@code host} has placed nothing, or is gone. */
        public static HostLoads nothing(HostId host) {
            return new HostLoads(
                    host, true, List.of(), List.of(), Optional.of(List.of()), List.of());
        }
    }
}
