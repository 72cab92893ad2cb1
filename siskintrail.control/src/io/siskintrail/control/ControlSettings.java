package io.siskintrail.control;

import static io.siskintrail.service.SettingsException.require;

import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.HostId;
import io.siskintrail.lib.HostInfo;
import io.siskintrail.service.OperatorTokens;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Settings of a control replica.
 *
 * @param host the id of this process among all processes of the deployment
 * @param domain the failure domain of this host
 * @param httpAddress {@code ip:port} of the administration API; port 0 takes a free one
 * @param peerAddress {@code ip:port} for the other processes
 * @param sharedKey the key that all processes of the deployment authenticate each other with
 * @param dataFolder the folder on disk that holds the state; empty keeps it in memory, which is
 *     allowed only to a single replica for trying out
 * @param replicas the other hosts with a disk, spares included
 * @param firstReplicas the host ids of the replicas that begin the log of a new deployment, 3 or 5
 *     of the hosts with a disk; their number stays that of the voters. Empty takes all of them
 * @param routers the routers of a new deployment; later ones are added through the API
 * @param operators who may use the administration API
 */
public record ControlSettings(
        String host,
        String domain,
        String httpAddress,
        String peerAddress,
        String sharedKey,
        String dataFolder,
        List<Peer> replicas,
        List<String> firstReplicas,
        List<Peer> routers,
        List<OperatorTokens.Operator> operators) {
    private static final int MIN_SECRET_LENGTH = 8;

    /** Checks the settings as a whole. */
    public ControlSettings {
        require(host != null && !host.isEmpty(), "host", "a host id");
        require(domain != null && !domain.isEmpty(), "domain", "a failure domain");
        requireAddress(httpAddress, "httpAddress");
        requireAddress(peerAddress, "peerAddress");
        require(
                sharedKey != null && sharedKey.length() >= MIN_SECRET_LENGTH,
                "sharedKey",
                "at least %d characters".formatted(MIN_SECRET_LENGTH));
        dataFolder = dataFolder == null ? "" : dataFolder;
        replicas = replicas == null ? List.of() : List.copyOf(replicas);
        firstReplicas = firstReplicas == null ? List.of() : List.copyOf(firstReplicas);
        routers = routers == null ? List.of() : List.copyOf(routers);
        operators = operators == null ? List.of() : List.copyOf(operators);
        require(
                !dataFolder.isEmpty() || replicas.isEmpty(),
                "dataFolder",
                "a folder, because there are other replicas");
        Set<String> disks = new TreeSet<>(Set.of(host));
        replicas.forEach(p -> disks.add(p.host()));
        require(disks.containsAll(firstReplicas), "firstReplicas", "host ids out of " + disks);
    }

    /** Returns this host as the others know it. */
    public HostInfo info() {
        return new HostInfo(hostId(), new FailureDomain(domain), peerAddress);
    }

    /** Returns the other hosts with a disk. */
    public List<HostInfo> replicaHosts() {
        return replicas.stream().map(Peer::info).toList();
    }

    /** Returns the hosts whose replicas begin the log of a new deployment. */
    public List<HostId> firstHosts() {
        if (!firstReplicas.isEmpty()) {
            return firstReplicas.stream().map(HostId::new).toList();
        }
        List<HostId> all = new ArrayList<>(List.of(hostId()));
        replicaHosts().forEach(h -> all.add(h.id()));
        return all;
    }

    /** Returns the id of this process. */
    public HostId hostId() {
        return new HostId(host);
    }

    /** Returns the routers of a new deployment. */
    public List<HostInfo> routerHosts() {
        return routers.stream().map(Peer::info).toList();
    }

    /**
     * Another process of the deployment.
     *
     * @param host its host id
     * @param domain its failure domain
     * @param peerAddress {@code ip:port} where it takes messages of peers
     */
    public record Peer(String host, String domain, String peerAddress) {

        /** Checks the address. */
        public Peer {
            requireAddress(peerAddress, "peerAddress");
        }

        HostInfo info() {
            return new HostInfo(new HostId(host), new FailureDomain(domain), peerAddress);
        }
    }

    private static void requireAddress(String value, String key) {
        require(
                value != null && value.matches("[0-9a-fA-F.:\\[\\]]+:\\d{1,5}"),
                key,
                "an IP number and a port, as 10.0.0.1:8080");
    }
}
