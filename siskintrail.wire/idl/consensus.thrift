/** Messages between replicas, the records they store, and the messages of their clients. */
namespace java io.siskintrail.wire.gen.consensus

struct PositionData {
  1: required i64 term,
  2: required i64 index
}

struct ReplicaIdData {
  1: required string host,
  2: required i64 disk
}

struct ReplicaSetData {
  1: required list<ReplicaIdData> voters,
  2: required list<ReplicaIdData> learners
}

/** Without command and replicas it is the first entry of a term. */
struct EntryData {
  1: required i64 term,
  2: required i64 index,
  3: required i64 atMillis,
  4: optional binary command,
  5: optional ReplicaSetData replicas
}

struct HardStateData {
  1: required i64 term,
  2: optional ReplicaIdData vote
}

struct SnapshotData {
  1: required PositionData position,
  2: required i64 atMillis,
  3: required ReplicaSetData replicas,
  4: required binary image
}

struct VoteRequestData {
  1: required i64 term,
  2: required bool preVote,
  3: required PositionData last,
  4: required bool transfer
}

struct VoteReplyData {
  1: required i64 term,
  2: required bool preVote,
  3: required bool granted
}

struct AppendRequestData {
  1: required i64 term,
  2: required PositionData previous,
  3: required list<EntryData> entries,
  4: required i64 commit,
  5: required i64 sentAt
}

struct AppendReplyData {
  1: required i64 term,
  2: required bool success,
  3: required i64 index,
  4: required i64 hint,
  5: required i64 sentAt
}

struct SnapshotChunkData {
  1: required i64 term,
  2: required SnapshotData snapshot,
  3: required i32 totalBytes,
  4: required i32 offset,
  5: required binary data,
  6: required i64 sentAt
}

struct SnapshotReplyData {
  1: required i64 term,
  2: required PositionData position,
  3: required i32 nextOffset,
  4: required bool installed,
  5: required i64 sentAt
}

struct TimeoutNowData {
  1: required i64 term
}

/** A replica without a leader offers its disk. */
struct SpareOfferData {
  1: required string domain,
  /** Whether the sender knows of no log and waits to begin a new one. */
  2: required bool forming
}

union ConsensusBody {
  1: VoteRequestData voteRequest,
  2: VoteReplyData voteReply,
  3: AppendRequestData appendRequest,
  4: AppendReplyData appendReply,
  5: SnapshotChunkData snapshotChunk,
  6: SnapshotReplyData snapshotReply,
  7: TimeoutNowData timeoutNow,
  8: SpareOfferData spareOffer
}

struct ConsensusData {
  1: required ReplicaIdData sender,
  /** Absent in an offer, which goes to whatever replica the host has. */
  2: optional ReplicaIdData receiver,
  3: required ConsensusBody body
}

/** A command with the number that makes its repeats one. */
struct NumberedCommandData {
  1: required i64 client,
  /** 0 opens the session. */
  2: required i64 number,
  /** The client has the answers to all lower numbers. */
  3: required i64 floor,
  4: required binary command
}

struct RecordedAnswerData {
  1: required i64 number,
  2: required binary answer
}

struct SessionImageData {
  1: required i64 client,
  2: required i64 seenAtMillis,
  3: required i64 floor,
  4: required list<RecordedAnswerData> answers
}

/** The image of a snapshot: the sessions and the encoded state. */
struct ReplicatedImageData {
  1: required list<SessionImageData> sessions,
  2: required binary state
}

/** Commands of one client, oldest first. */
struct ProposeData {
  1: required list<NumberedCommandData> commands
}

enum ProposalOutcome {
  ANSWERED = 1,
  /** The answer is the number of the session, 8 bytes, high byte first. */
  OPENED = 2,
  TOO_LARGE = 3,
  /** The client was silent for so long that its session is no longer known. */
  FORGOTTEN = 4
}

struct ProposalReplyData {
  1: required i64 client,
  2: required i64 number,
  3: required ProposalOutcome outcome,
  4: optional binary answer
}

/** The sender does not lead; it names the host that does, where known. */
struct NotLeaderData {
  1: optional string leader
}

/** Asks for what is committed behind an index; an image is fetched piece by piece. */
struct FollowData {
  1: required i64 after,
  2: required i64 imageIndex,
  3: required i32 imageOffset
}

struct FollowReplyData {
  1: required i64 after,
  2: required list<EntryData> entries
}

struct ImageChunkData {
  1: required PositionData position,
  2: required i32 totalBytes,
  3: required i32 offset,
  4: required binary data
}

union ClientBody {
  1: ProposeData propose,
  2: ProposalReplyData proposalReply,
  3: NotLeaderData notLeader,
  4: FollowData follow,
  5: FollowReplyData followReply,
  6: ImageChunkData imageChunk
}

struct ClientData {
  1: required ClientBody body
}
