package io.siskintrail.internal.traffic.endpoint;

import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.EndpointVersion;
import io.siskintrail.lib.FailureDomain;
import io.siskintrail.lib.ServiceName;

/**
 * State of an endpoint as of its latest report.
 *
 * @param id identifies the endpoint; a restarted endpoint may keep its id
 * @param incarnation start time of the endpoint in Unix milliseconds; 0 when the report does not
 *     contain it
 * @param sequence number of the report, ascending within the incarnation
 * @param service the service that the endpoint belongs to
 * @param address {@code ip:port} at which the endpoint accepts requests
 * @param domain the failure domain that the endpoint runs in
 * @param slots how many requests the endpoint processes concurrently
 * @param coldMillis remaining warm-up time at the time of the report, during which the endpoint is
 *     slow
 * @param state the lifecycle state
 * @param version the version of the endpoint's software; {@link EndpointVersion#NONE} if the report
 *     does not contain it
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
        EndpointState state,
        EndpointVersion version) {

    /** Creates the record of an endpoint that does not report its version. */
    public EndpointRecord(
            EndpointId id,
            long incarnation,
            long sequence,
            ServiceName service,
            String address,
            FailureDomain domain,
            int slots,
            long coldMillis,
            EndpointState state) {
        this(
                id,
                incarnation,
                sequence,
                service,
                address,
                domain,
                slots,
                coldMillis,
                state,
                EndpointVersion.NONE);
    }

    /** Returns a copy of this record with the state {@code next}. */
    public EndpointRecord with(EndpointState next) {
        return new EndpointRecord(
                id,
                incarnation,
                sequence,
                service,
                address,
                domain,
                slots,
                coldMillis,
                next,
                version);
    }

    /**
     * Returns whether this record supersedes {@code other}, a record of the same id. A known
     * incarnation that once said it will shut down does not become ready again.
     */
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
        boolean takesBackLeaving =
                other.state == EndpointState.DRAINING && state.compareTo(other.state) < 0;
        if (takesBackLeaving && incarnation != 0) {
            return false;
        }
        if (sequence != other.sequence) {
            return sequence > other.sequence;
        }
        return state.compareTo(other.state) > 0;
    }
}
