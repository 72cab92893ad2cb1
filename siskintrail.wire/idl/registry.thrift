/** Messages among registries, and between them and the edges that follow them. */
namespace java io.siskintrail.wire.gen.registry

include "rollout.thrift"

struct EndpointRecordData {
  1: required string id,
  /** Unix milliseconds of the start; 0 when unknown. */
  2: required i64 incarnation,
  3: required i64 sequence,
  4: required string serviceName,
  5: required string address,
  6: required string domain,
  7: required i32 slots,
  8: required i64 coldMillis,
  /** Index of the state. */
  9: required i32 state,
  /** Version of the software; not set if the endpoint does not report it. */
  10: optional string version
}

struct EndpointRecordsData {
  1: required list<EndpointRecordData> records
}

struct StatusData {
  1: required i64 version,
  2: required bool current,
  3: required list<string> registries,
  4: required i32 edges,
  /** The newest rollout of each service; not set if there was none. */
  5: optional rollout.RolloutListData rollouts
}

struct ContentData {
  1: required i64 version,
  2: required binary content
}

/** An answer to a call with a token; index is -1 when it was refused. */
struct ReplyData {
  1: required i64 token,
  2: required i64 index
}

struct CommandData {
  1: required i64 token,
  2: required binary command
}

/** The hash of a client account and the content of a request. */
struct ContentHashData {
  1: required i64 high,
  2: required i64 low
}

/** A request that had not begun to be answered, and the prompt parts that others may share. */
struct SuspectData {
  1: required ContentHashData content,
  2: required list<string> parts
}

/** What an edge had running on an endpoint that died. */
struct DeathData {
  1: required string host,
  2: required string endpoint,
  /** The contents of the suspects, for builds that do not know them. */
  3: required list<ContentHashData> running,
  4: optional list<SuspectData> suspects
}

struct RefusalData {
  /** Zero if prompt parts are refused. */
  1: required ContentHashData content,
  2: required i64 millis,
  /** Requests with all of these prompt parts are refused; a content if not set or empty. */
  3: optional list<string> parts
}

/** Prompt parts whose requests an edge saw answered. */
struct SoundData {
  1: required string host,
  2: required list<string> parts,
  /** Milliseconds since each part was answered, in the order of the parts; 0 if not set. */
  3: optional list<i64> agesMillis
}

/** An edge that drains. */
struct DrainingData {
  1: required string host,
  /** Milliseconds that it expects to drain. */
  2: required i64 millis
}

/** What an edge has placed on one endpoint. */
struct LoadData {
  1: required string endpoint,
  2: required i32 running,
  3: required i64 tokens,
  4: required i32 prefillMillis
}

/** A prompt that an endpoint has read. */
struct ReadPromptData {
  1: required string prompt,
  2: required string endpoint
}

/** A request that waits at an edge for capacity of a service. */
struct WaitingData {
  1: required string serviceName,
  2: required i32 rank,
  /** Hash of the client account. */
  3: required i32 account,
  /** Milliseconds that it has waited. */
  4: required i32 waitedMillis,
  /** Milliseconds for which it can still wait. */
  5: required i32 remainingMillis,
  /** KV cache memory that it needs, in tokens. */
  6: required i32 tokens,
  /** Whether it continues a stream that lost its engine. */
  7: required bool resumption
}

/** Measured speed of an engine. */
struct SpeedData {
  1: required string endpoint,
  /** Prompt tokens that it prefills in a second without other work. */
  2: required i32 prefillTokensPerSecond,
  /** Milliseconds since it was measured. */
  3: required i32 ageMillis
}

/** What an edge used of the retries that all edges share, within the current window. */
struct RetryUsageData {
  1: required string serviceName,
  2: required i32 requests,
  3: required i32 retries
}

struct LoadsData {
  1: required string host,
  2: required list<LoadData> loads,
  3: optional list<ReadPromptData> prompts,
  4: optional bool complete,
  /** All requests that wait at the host; unchanged since its last report if not set. */
  5: optional list<WaitingData> waiting,
  6: optional list<SpeedData> speeds,
  7: optional list<RetryUsageData> retries
}

struct AllLoadsData {
  1: required list<LoadsData> hosts
}

union RegistryBody {
  1: EndpointRecordsData endpoints,
  2: StatusData status,
  3: i64 fetchAbove,
  4: ContentData content,
  5: CommandData propose,
  6: ReplyData proposed,
  7: i64 read,
  8: ReplyData readAt,
  9: DeathData death,
  10: RefusalData refusal,
  11: AllLoadsData loads,
  12: SoundData sound,
  13: DrainingData draining
}
