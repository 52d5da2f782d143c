@0xd2a1c5f6b8e94a37;

# Messages between the daemons of lavenderhatch.

interface Peer {
  heartbeat @0 (hello :Hello) -> (hello :Hello);
  announce @1 (version :UInt64, digest :Data) -> ();
  update @2 (held :UInt64, want :UInt64) -> (update :Update);
  carry @3 (call :Call) -> (answer :Answer);
  claim @4 (claim :Claim) -> (verdict :ClaimVerdict);
  outcome @5 (record :OutcomeRecord) -> ();
}

# State of the sender and what it has news of.
struct Hello {
  node @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt64;
  digest @3 :Data;
  records @4 :List(Member);
  suspects @5 :List(Suspicion);
  # Highest version that the sender has seen the receiver hold.
  heldByReceiver @6 :UInt64;
  # Calls in flight and concurrency limit of the sender's backend server.
  inFlight @7 :UInt32;
  limit @8 :UInt32;
  # Held versions that the sender collected for its zone.
  reports @9 :List(HeldReport);
}

struct Member {
  node @0 :Text;
  incarnation @1 :UInt64;
  seq @2 :UInt64;
  zone @3 :Text;
  region @4 :Text;
  service @5 :Text;
  peerAddr @6 :Text;
  adminAddr @7 :Text;
  slots @8 :UInt32;
  state @9 :MemberState;
}

enum MemberState {
  starting @0;
  serving @1;
  leaving @2;
  left @3;
  failed @4;
  unreachable @5;
}

struct Suspicion {
  node @0 :Text;
  incarnation @1 :UInt64;
  observer @2 :Text;
  # Whether the observer withdraws its suspicion.
  isWithdrawn @3 :Bool;
}

struct HeldReport {
  # Lowest version held by the members that the report covers.
  lowest @0 :UInt64;
  members @1 :UInt32;
  lagging @2 :List(Text);
}

struct Update {
  union {
    # The answerer holds nothing newer.
    none @0 :Void;
    delta @1 :Delta;
    whole @2 :Whole;
    # The answerer serves too many updates; ask again after this many milliseconds.
    busyMs @3 :UInt32;
  }
}

struct Delta {
  baseVersion @0 :UInt64;
  baseDigest @1 :Data;
  version @2 :UInt64;
  digest @3 :Data;
  # Changed objects as JSON.
  changes @4 :Data;
}

struct Whole {
  version @0 :UInt64;
  digest @1 :Data;
  # Canonical encoding of the mesh.
  mesh @2 :Data;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Call {
  id @0 :Text;
  method @1 :Text;
  target @2 :Text;
  route @3 :Text;
  rank @4 :Text;
  service @5 :Text;
  headers @6 :List(Header);
  body @7 :Data;
  # Empty if the request has no key.
  key @8 :Text;
  isIdempotent @9 :Bool;
  timeLeftMs @10 :UInt64;
  depth @11 :UInt8;
}

struct Answer {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
  outcome @3 :Outcome;
  # Code of the error kind plus one; zero for an answer of a back end.
  errorCode @4 :UInt16;
  # Milliseconds plus one; zero for no advice.
  retryAfterMs @5 :UInt64;
  isRetryExhausted @6 :Bool;
}

enum Outcome {
  ran @0;
  notRun @1;
  unknown @2;
}

struct Claim {
  keyHash @0 :Data;
  requestDigest @1 :Data;
  executor @2 :Text;
  incarnation @3 :UInt64;
  # Distinguishes the attempts of one executor.
  attempt @4 :UInt64;
}

struct ClaimVerdict {
  union {
    granted @0 :Void;
    # Recorded outcome of an earlier run.
    recorded @1 :RecordedOutcome;
    inFlight @2 :Void;
    conflict @3 :Void;
    # The claim was certainly not written.
    unavailable @4 :Void;
    unknown @5 :Void;
  }
}

struct RecordedOutcome {
  status @0 :UInt16;
  bodyDigest @1 :Data;
}

struct OutcomeRecord {
  keyHash @0 :Data;
  executor @1 :Text;
  incarnation @2 :UInt64;
  attempt @3 :UInt64;
  # False if the order was refused before it ran, which releases the claim.
  hasRun @4 :Bool;
  status @5 :UInt16;
  bodyDigest @6 :Data;
}
