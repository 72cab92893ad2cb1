/** Messages between the generation stripes of different routers. */
namespace java io.siskintrail.wire.gen.buddy

/** A period in which one process owns a generation. */
struct TOwnerEpoch {
  1: required i64 number,
  2: required string owner,
  3: required i64 incarnation
}

/** Consecutive tokens; an end is the index in the text after the token's last character. */
struct TTokenRun {
  1: required list<i32> ids,
  2: required string text,
  3: required list<i32> ends
}

/** How a generation ended; the code is the number of a ResultCode. */
struct TOutcome {
  1: required i32 code,
  2: required string reason
}

/** What a generation computes. */
struct TGenerationSpec {
  1: required string id,
  2: required string model,
  3: required string adapter,
  4: required string version,
  5: required bool urgent,
  6: required i64 seed,
  7: required i32 promptTokens,
  8: required string body
}

/** The part of a journal that one epoch wrote. */
struct TSegment {
  1: required TOwnerEpoch epoch,
  2: required i32 start
}

/** Which message it is; the fields that it uses are those of the message of that name. */
enum TBuddyKind {
  OPEN = 1,
  COPY = 2,
  ACK = 3,
  NOT_HELD = 4,
  OWNED = 5,
  CONFLICT = 6,
  RELEASE = 7,
  HANDOVER = 8,
  LOCATE = 9,
  LOCATED = 10,
  SUBSCRIBE = 11,
  RELAY = 12,
  DIVERGED = 13,
  UNSUBSCRIBE = 14,
  PROBE = 15,
  PROBE_ACK = 16,
  DEATH_REPORT = 17,
  QUARANTINE_NOTICE = 18
}

/** One message. */
struct TBuddyMessage {
  /** The process that sent it. */
  1: required i64 incarnation,
  2: required TBuddyKind kind,
  3: optional string account,
  4: optional string key,
  5: optional i32 stripe,
  6: optional string generation,
  7: optional TOwnerEpoch epoch,
  8: optional TGenerationSpec spec,
  9: optional list<TSegment> lineage,
  10: optional TTokenRun run,
  11: optional TOutcome outcome,
  12: optional i32 attempt,
  13: optional string endpoint,
  14: optional i32 failures,
  /** Offset of the first token, or length of the copy. */
  15: optional i32 offset,
  16: optional bool ended,
  17: optional i64 caller,
  18: optional TOwnerEpoch basisEpoch,
  19: optional i32 basisOffset,
  20: optional i64 fingerprintHigh,
  21: optional i64 fingerprintLow,
  /** The generation that answers the request already, in a conflict. */
  22: optional string running,
  /** Upper and lower halves in turn, of what ran on an endpoint that died. */
  23: optional list<i64> fingerprints,
  24: optional i64 millis
}
