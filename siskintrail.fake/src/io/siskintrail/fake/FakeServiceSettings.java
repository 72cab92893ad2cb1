package io.siskintrail.fake;

import java.util.List;

/**
 * Settings of one fake plain service.
 *
 * @param id its endpoint id
 * @param domain its failure domain
 * @param listen {@code ip:port}; port 0 takes a free one
 * @param service the service name it answers to
 * @param slots how many calls it announces to run at once
 * @param answerMillis time from a call to its answer
 * @param announceTo {@code ip:port} of routers to announce to; empty to announce nowhere
 * @param announceToken the token that routers expect of endpoints
 */
public record FakeServiceSettings(
        String id,
        String domain,
        String listen,
        String service,
        int slots,
        int answerMillis,
        List<String> announceTo,
        String announceToken) {}
