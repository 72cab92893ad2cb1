package io.siskintrail.wire.registry;

import io.siskintrail.internal.traffic.admission.RetryUsage;
import io.siskintrail.internal.traffic.admission.WaitingRequest;
import io.siskintrail.internal.traffic.placement.EngineSpeed;
import io.siskintrail.lib.EndpointId;
import io.siskintrail.lib.ServiceName;
import io.siskintrail.wire.gen.registry.RetryUsageData;
import io.siskintrail.wire.gen.registry.SpeedData;
import io.siskintrail.wire.gen.registry.WaitingData;
import java.util.List;

/** Converts what a load report says of waiting requests, speeds of engines and retries. */
final class LoadReportCodec {

    private LoadReportCodec() {}

    static List<WaitingData> waitingData(List<WaitingRequest> requests) {
        return requests.stream()
                .map(
                        r ->
                                new WaitingData(
                                        r.service().value(),
                                        r.rank(),
                                        r.account(),
                                        clampToInt(r.waitedMillis()),
                                        clampToInt(r.remainingMillis()),
                                        clampToInt(r.tokens()),
                                        r.resumption()))
                .toList();
    }

    static List<WaitingRequest> waiting(List<WaitingData> requests) {
        return requests.stream()
                .map(
                        d ->
                                new WaitingRequest(
                                        new ServiceName(d.getServiceName()),
                                        d.getRank(),
                                        d.getAccount(),
                                        d.getWaitedMillis(),
                                        d.getRemainingMillis(),
                                        d.getTokens(),
                                        d.isResumption()))
                .toList();
    }

    static List<SpeedData> speedData(List<EngineSpeed> speeds) {
        return speeds.stream()
                .map(
                        s ->
                                new SpeedData(
                                        s.endpoint().value(),
                                        clampToInt(s.prefillTokensPerSecond()),
                                        clampToInt(s.ageMillis())))
                .toList();
    }

    static List<EngineSpeed> speeds(List<SpeedData> speeds) {
        return speeds.stream()
                .map(
                        d ->
                                new EngineSpeed(
                                        new EndpointId(d.getEndpoint()),
                                        d.getPrefillTokensPerSecond(),
                                        d.getAgeMillis()))
                .toList();
    }

    static List<RetryUsageData> retryData(List<RetryUsage> usages) {
        return usages.stream()
                .map(u -> new RetryUsageData(u.service().value(), u.requests(), u.retries()))
                .toList();
    }

    static List<RetryUsage> retries(List<RetryUsageData> usages) {
        return usages.stream()
                .map(
                        d ->
                                new RetryUsage(
                                        new ServiceName(d.getServiceName()),
                                        Math.max(0, d.getRequests()),
                                        Math.max(0, d.getRetries())))
                .toList();
    }

    private static int clampToInt(long value) {
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, value));
    }
}
