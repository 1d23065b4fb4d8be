# Messages between entry instances; section 3.7 of the design page.
#
# Field names are the camel-case forms of the field names in messages.py,
# job_messages.py and scheduling/model.py. All signed integers are Int64: the
# packed encoding omits their leading zero bytes. Existing ordinals must never
# change.
@0xd7a1c54b0e5f2c11;

struct Envelope {
  clock @0 :UInt64;          # hybrid logical clock of the sender
  correlation @1 :UInt64;    # 0 unless the message belongs to a call
  isAnswer @2 :Bool;
  union {
    none @3 :Void;
    challenge @4 :Challenge;
    hello @5 :Hello;
    heartbeat @6 :Heartbeat;
    failure @7 :Failure;
    done @8 :Done;
    termAnnounce @9 :TermAnnounce;
    termReport @10 :TermReport;
    workersChanged @11 :WorkersChanged;
    holdingRequest @12 :HoldingRequest;
    holdingGrant @13 :HoldingGrant;
    holdingReturn @14 :HoldingReturn;
    allowanceNotice @15 :AllowanceNotice;
    placeTasks @16 :PlaceTasks;
    placeResult @17 :PlaceResult;
    stopTasks @18 :StopTasks;
    stopResult @19 :StopResult;
    reserveGang @20 :ReserveGang;
    reserveResult @21 :ReserveResult;
    commitGang @22 :CommitGang;
    releaseGang @23 :ReleaseGang;
    jobAccepted @24 :JobAccepted;
    jobsCancelled @25 :JobsCancelled;
    zoneDigest @26 :ZoneDigest;
    configDelta @27 :ConfigDelta;
    configRequest @28 :ConfigRequest;
    denyKeys @29 :DenyKeys;
    jobQuery @30 :JobQuery;
    jobCheck @31 :JobCheck;
    jobReply @32 :JobReply;
    jobsForgotten @33 :JobsForgotten;
    workersSettled @34 :WorkersSettled;
    holdingRecall @35 :HoldingRecall;
    denyResult @36 :DenyResult;
    zonesInForce @37 :ZonesInForce;
    cancelResult @38 :CancelResult;
  }
}

struct Term { counter @0 :Int64; instanceId @1 :Text; }
struct Resources {
  slots @0 :Int64;
  connections @1 :Int64;
  millicores @2 :Int64;
  memoryMib @3 :Int64;
  accelerators @4 :Int64;
}
struct Count { name @0 :Text; number @1 :Int64; }
struct ServiceFree { service @0 :Text; free @1 :Resources; }
struct TaskSpec {
  taskId @0 :Text;
  team @1 :Text;
  queue @2 :Text;
  kind @3 :Text;
  resources @4 :Resources;
  service @5 :Text;
  idempotent @6 :Bool;
  urgent @7 :Bool;
  deadlineMs @8 :Int64;
  expectedRunMs @9 :Int64;
  jobId @10 :Text;
  attempt @11 :Int64;
  priority @12 :Int64;
}
struct RunningTask {
  taskId @0 :Text;
  workerId @1 :Text;
  team @2 :Text;
  queue @3 :Text;
  resources @4 :Resources;
  jobId @5 :Text;
  attempt @6 :Int64;
}
struct OwnedReport {
  workerId @0 :Text;
  service @1 :Text;
  capacity @2 :Resources;
  tasks @3 :List(RunningTask);
}
struct HoldingEntry {
  team @0 :Text;
  sequence @1 :Int64;
  grantedTotal @2 :Int64;
  returnedTotal @3 :Int64;
  running @4 :Int64;
  orphaned @5 :Int64;
}
struct Outcome {
  taskId @0 :Text;
  workerId @1 :Text;
  state @2 :Text;
  exitCode @3 :Int64;
}
struct Payload { jobId @0 :Text; data @1 :Data; reference @2 :Text; }

struct Challenge { nonce @0 :Data; }
struct Hello {
  instanceId @0 :Text;
  zone @1 :Text;
  incarnation @2 :Text;
  nonce @3 :Data;
  proof @4 :Data;
}
struct Heartbeat {
  draining @0 :Bool;
  term @1 :Term;
  configVersion @2 :Int64;
  generation @3 :Int64;
  full @4 :Bool;
  free @5 :List(ServiceFree);
  waiting @6 :List(Count);
  running @7 :List(Count);
}
struct Failure { code @0 :Text; detail @1 :Text; }
struct Done {}

struct TermAnnounce { term @0 :Term; }
struct TermReport {
  term @0 :Term;
  accepted @1 :Bool;
  incarnation @2 :Text;
  workers @3 :List(OwnedReport);
  placing @4 :List(RunningTask);
  holdings @5 :List(HoldingEntry);
  outcomes @6 :List(Outcome);
}
struct WorkersChanged {
  term @0 :Term;
  incarnation @1 :Text;
  acquired @2 :List(OwnedReport);
  lost @3 :List(Text);
  restarted @4 :List(Text);
  outcomes @5 :List(Outcome);
  holdings @6 :List(HoldingEntry);
}
struct WorkersSettled { term @0 :Term; workerIds @1 :List(Text); }
struct HoldingRequest {
  term @0 :Term;
  incarnation @1 :Text;
  wanted @2 :Int64;
  entry @3 :HoldingEntry;
}
struct HoldingGrant {
  term @0 :Term;
  incarnation @1 :Text;
  team @2 :Text;
  grantedTotal @3 :Int64;
  units @4 :Int64;
}
struct HoldingReturn {
  term @0 :Term;
  incarnation @1 :Text;
  holdings @2 :List(HoldingEntry);
}
struct HoldingRecall { term @0 :Term; team @1 :Text; keep @2 :Int64; }
struct AllowanceNotice {
  term @0 :Term;
  team @1 :Text;
  allowance @2 :Int64;
  sequence @3 :Int64;
  ceiling @4 :Int64;
}

struct PlaceTasks {
  term @0 :Term;
  tasks @1 :List(TaskSpec);
  payloads @2 :List(Payload);
}
struct Placed {
  taskId @0 :Text;
  workerId @1 :Text;
  refusal @2 :Text;
  unknown @3 :Bool;
}
struct PlaceResult {
  term @0 :Term;
  incarnation @1 :Text;
  outcomes @2 :List(Placed);
  holdings @3 :List(HoldingEntry);
}
struct TaskAddress { workerId @0 :Text; taskId @1 :Text; }
struct StopTasks {
  term @0 :Term;
  action @1 :Text;
  tasks @2 :List(TaskAddress);
}
struct StopResult { outcomes @0 :List(Outcome); }
struct ReserveGang {
  term @0 :Term;
  reservationId @1 :Text;
  expiresInMs @2 :Int64;
  tasks @3 :List(TaskSpec);
}
struct ReserveResult { reservationId @0 :Text; taskIds @1 :List(Text); }
struct CommitGang {
  term @0 :Term;
  reservationId @1 :Text;
  tasks @2 :List(TaskSpec);
  payloads @3 :List(Payload);
}
struct ReleaseGang { term @0 :Term; reservationId @1 :Text; }
struct JobAccepted { jobIds @0 :List(Text); }
struct JobsCancelled {
  jobIds @0 :List(Text);
  group @1 :Text;
  team @2 :Text;
}
struct CancelResult { jobIds @0 :List(Text); }
struct JobsForgotten { term @0 :Term; jobIds @1 :List(Text); }
struct JobQuery { jobId @0 :Text; }
struct JobCheck { spec @0 :Text; }
struct JobReply { status @0 :Text; }

struct TeamDemand {
  team @0 :Text;
  allowance @1 :Int64;
  running @2 :Int64;
  waiting @3 :Int64;
  usagePermille @4 :Int64;
}
struct ZoneDigest {
  term @0 :Term;
  zone @1 :Text;
  full @2 :Bool;
  configVersion @3 :Int64;
  capacity @4 :Resources;
  free @5 :Resources;
  teams @6 :List(TeamDemand);
}
struct ConfigRecord {
  version @0 :Int64;
  kind @1 :Text;
  author @2 :Text;
  appliedAtMs @3 :Int64;
  content @4 :Text;          # JSON
}
struct ConfigDelta { records @0 :List(ConfigRecord); denied @1 :List(Text); }
struct ConfigRequest { sinceVersion @0 :Int64; }
struct DenyKeys { keyIds @0 :List(Text); }
struct DenyResult { names @0 :List(Text); }
struct ZonesInForce { zones @0 :List(Count); }
