package io.siskintrail.internal.traffic;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.ServiceName;

/**
 * What an endpoint said of itself at one time.
 *
 * @param id its id; one id can name several starts of an endpoint
 * @param incarnation the Unix milliseconds of its start; 0 when the report does not tell
 * @param sequence the number of the report within the incarnation
 * @param service the service that it belongs to
 * @param address {@code ip:port} that it serves at
 * @param domain the failure domain that it runs in
 * @param slots how many requests it works on at once
 * @param coldMillis how long it stays slow after its start, as of the report
 * @param state what is known of its life
 */
public record EndpointRecord(
        EndpointId id,
        long incarnation,
        long sequence,
        ServiceName service,
        String address,
        FailureDomain domain,
        int slots,
        long coldMillis,
        EndpointState state) {

    /** Returns the same record with another state. */
    public EndpointRecord with(EndpointState next) {
        return new EndpointRecord(
                id, incarnation, sequence, service, address, domain, slots, coldMillis, next);
    }

    /** Returns whether this tells more recent facts than {@code other} of the same id. */
    public boolean isNewerThan(EndpointRecord other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (other.state == EndpointState.GONE) {
            return false;
        }
        if (state == EndpointState.GONE) {
            return true;
        }
        if (sequence != other.sequence) {
            return sequence > other.sequence;
        }
        return state.compareTo(other.state) > 0;
    }
}
