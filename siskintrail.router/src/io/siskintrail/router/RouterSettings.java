package io.siskintrail.router;

import static io.siskintrail.service.SettingsException.require;

import io.siskintrail.lib.AccountId;
import io.siskintrail.lib.HostId;
import io.siskintrail.service.OperatorTokens;
import java.util.List;

/**
 * Settings of a router.
 *
 * @param host the id of this host
 * @param domain the failure domain of this host
 * @param httpAddress {@code ip:port} for callers and endpoints; port 0 takes a free one
 * @param peerAddress {@code ip:port} for the processes of other hosts
 * @param sharedKey the key that all processes of the deployment authenticate each other with
 * @param announceToken the token that endpoints announce with
 * @param peers the other hosts that run a router
 * @param controlHosts the hosts that run a control replica
 * @param accounts the client accounts and the SHA-256 of their API keys
 * @param limits the limits on requests
 * @param operators who may use the administration API
 */
public record RouterSettings(
        String host,
        String domain,
        String httpAddress,
        String peerAddress,
        String sharedKey,
        String announceToken,
        List<Peer> peers,
        List<Peer> controlHosts,
        List<Account> accounts,
        Limits limits,
        List<OperatorTokens.Operator> operators) {
    private static final int MIN_SECRET_LENGTH = 8;

    /** Checks the settings as a whole. */
    public RouterSettings {
        require(host != null && !host.isEmpty(), "host", "a host id");
        require(domain != null && !domain.isEmpty(), "domain", "a failure domain");
        requireAddress(httpAddress, "httpAddress");
        requireAddress(peerAddress, "peerAddress");
        requireSecret(sharedKey, "sharedKey");
        requireSecret(announceToken, "announceToken");
        peers = peers == null ? List.of() : List.copyOf(peers);
        controlHosts = controlHosts == null ? List.of() : List.copyOf(controlHosts);
        accounts = accounts == null ? List.of() : List.copyOf(accounts);
        limits = limits == null ? Limits.defaults() : limits;
        operators = operators == null ? List.of() : List.copyOf(operators);
    }

    /** Makes settings without operators: the administration API refuses everyone. */
    public RouterSettings(
            String host,
            String domain,
            String httpAddress,
            String peerAddress,
            String sharedKey,
            String announceToken,
            List<Peer> peers,
            List<Peer> controlHosts,
            List<Account> accounts,
            Limits limits) {
        this(
                host,
                domain,
                httpAddress,
                peerAddress,
                sharedKey,
                announceToken,
                peers,
                controlHosts,
                accounts,
                limits,
                List.of());
    }

    /** Returns the id of this host. */
    public HostId hostId() {
        return new HostId(host);
    }

    /**
     * A process on another host.
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
    }

    /**
     * A client account.
     *
     * @param account its id
     * @param keySha256 the SHA-256 of its API key in hexadecimal
     */
    public record Account(String account, String keySha256) {
        private static final String HEX_OF_32_BYTES = "[0-9a-f]{64}";

        /** Checks the id and the hash. */
        public Account {
            require(account != null && !account.isEmpty(), "account", "a client account id");
            require(
                    keySha256 != null && keySha256.matches(HEX_OF_32_BYTES),
                    "keySha256",
                    "64 lower-case hexadecimal digits");
        }

        /** Returns the account's id. */
        public AccountId id() {
            return new AccountId(account);
        }
    }

    /**
     * Limits on one request.
     *
     * @param bodyBytes the longest body
     * @param headerBytes the longest header section
     * @param promptChars the longest prompt in characters
     * @param outputTokens the largest {@code max_tokens}
     */
    public record Limits(int bodyBytes, int headerBytes, int promptChars, int outputTokens) {
        private static final int DEFAULT_BODY_BYTES = 4 << 20;
        private static final int DEFAULT_HEADER_BYTES = 16 << 10;
        private static final int DEFAULT_PROMPT_CHARS = 2_000_000;
        private static final int DEFAULT_OUTPUT_TOKENS = 100_000;

        /** Checks the ranges. */
        public Limits {
            require(bodyBytes > 0, "bodyBytes", "a positive number");
            require(headerBytes > 0, "headerBytes", "a positive number");
            require(promptChars > 0, "promptChars", "a positive number");
            require(outputTokens > 0, "outputTokens", "a positive number");
        }

        /** Returns the limits of a router whose settings name none. */
        public static Limits defaults() {
            return new Limits(
                    DEFAULT_BODY_BYTES,
                    DEFAULT_HEADER_BYTES,
                    DEFAULT_PROMPT_CHARS,
                    DEFAULT_OUTPUT_TOKENS);
        }
    }

    private static void requireAddress(String value, String key) {
        require(
                value != null && value.matches("[0-9a-fA-F.:\\[\\]]+:\\d{1,5}"),
                key,
                "an IP number and a port, as 10.0.0.1:8080");
    }

    private static void requireSecret(String value, String key) {
        require(
                value != null && value.length() >= MIN_SECRET_LENGTH,
                key,
                "at least %d characters".formatted(MIN_SECRET_LENGTH));
    }
}
