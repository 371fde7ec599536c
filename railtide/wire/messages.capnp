@0xd3b6f5c2a1e84f07;

# Messages between a keeper and its routers, and between keepers. Log records are embedded as the
# bytes that are appended to the log, so that no process re-encodes another's records.
# For compatibility, fields and union members are only added, never changed or removed.

struct Entry {
  holder @0 :Text;
  seq @1 :UInt64;
  acked @2 :UInt64;
  record @3 :Data;
}

struct Verdict {
  holder @0 :Text;
  body @1 :Data;
}

struct Object {
  kind @0 :Text;
  name @1 :Text;
  version @2 :UInt64;
  body @3 :Data;
  offset @4 :Int64;
}

struct Member {
  name @0 :Text;
  incarnation @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  role @4 :Text;
  pool @5 :Text;
  slots @6 :UInt32;
  leaving @7 :Bool;
}

struct LogStatus {
  reachable @0 :Bool;
  offset @1 :Int64;
  stamp @2 :Int64;
  caughtUp @3 :Bool;
}

struct Orphan {
  requestId @0 :Text;
  account @1 :Text;
  pool @2 :Text;
  reserve @3 :UInt64;
  key @4 :Text;
  repeatable @5 :Bool;
}

struct Read {
  call @0 :UInt64;
  stream @1 :Text;
  start @2 :Int64;
  limit @3 :UInt32;
  waitS @4 :Float64;
}

struct Record {
  offset @0 :Int64;
  stamp @1 :Int64;
  data @2 :Data;
}

struct ReadReply {
  call @0 :UInt64;
  head @1 :Int64;
  records @2 :List(Record);
  first @3 :Int64;
  failed @4 :Bool;
}

struct Append {
  call @0 :UInt64;
  stream @1 :Text;
  data @2 :Data;
}

struct AppendReply {
  call @0 :UInt64;
  offset @1 :Int64;
  failed @2 :Bool;
}

struct Message {
  union {
    entry @0 :Entry;
    verdict @1 :Verdict;
    object @2 :Object;
    members @3 :List(Member);
    demand @4 :Text;
    logStatus @5 :LogStatus;
    orphan @6 :Orphan;
    read @7 :Read;
    readReply @8 :ReadReply;
    append @9 :Append;
    appendReply @10 :AppendReply;
    subscribe @12 :Void;
  }
  traceparent @11 :Text;
}
