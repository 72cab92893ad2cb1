/** Messages between the processes of one deployment. */
namespace java io.siskintrail.wire.gen

/** Carries one message of a subsystem from one process to another. */
struct Envelope {
  /** Host id of the sender. */
  1: required string sender,
  /** Which subsystem and message the body holds; see MessageKind. */
  2: required i16 kind,
  /** The message, a Thrift struct in compact form. */
  3: required binary body,
  /** Authentication tag over the other fields by the key that the peers share. */
  4: required binary tag
}

service Peer {
  /** Takes a message; delivery is not acknowledged and may be lost or repeated. */
  oneway void deliver(1: list<Envelope> envelopes)
}
