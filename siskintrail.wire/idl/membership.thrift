/** Gossip about hosts and endpoints. */
namespace java io.siskintrail.wire.gen.membership

enum HostStateData {
  ALIVE = 1,
  SUSPECT = 2,
  DEAD = 3
}

struct HostEntryData {
  1: required string id,
  2: required i64 incarnation,
  3: required HostStateData state
}

enum EndpointKindData {
  ENGINE = 1,
  SERVICE = 2
}

struct ModelData {
  1: required string model,
  /** Absent when there is none. */
  2: optional string adapter,
  3: required string version
}

struct EndpointEntryData {
  1: required string id,
  2: required string address,
  3: required EndpointKindData kind,
  4: required string domain,
  5: optional list<ModelData> models,
  6: optional list<string> services,
  7: required i32 slots,
  8: required bool checksFencing,
  9: required i64 incarnation,
  10: required bool leaving,
  11: required string home,
  12: required i64 term,
  13: required bool gone
}

struct EntriesData {
  1: optional list<HostEntryData> hosts,
  2: optional list<EndpointEntryData> endpoints
}

struct PingData {
  1: required i64 number,
  2: required EntriesData entries
}

struct AckData {
  1: required i64 number,
  2: required EntriesData entries
}

struct PingRequestData {
  1: required i64 number,
  2: required string target
}

struct PullData {
  1: required i64 number
}

struct RenewalData {
  1: required string endpoint,
  2: required i64 incarnation,
  3: required i64 ageMillis
}

struct RenewalsData {
  1: required i64 number,
  2: required list<RenewalData> renewals
}

struct DigestData {
  /** One 64-bit number for each bucket, in network order. */
  1: required binary buckets
}

struct BucketsData {
  1: required list<i32> buckets,
  2: required EntriesData entries,
  3: required bool answer
}

union MembershipMessageData {
  1: PingData ping,
  2: AckData ack,
  3: PingRequestData pingRequest,
  4: EntriesData gossip,
  5: PullData pull,
  6: RenewalsData renewals,
  7: DigestData digest,
  8: BucketsData buckets
}
