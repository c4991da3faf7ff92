import assert from "node:assert/strict";
import { test } from "node:test";
import type { AttemptFrame, TargetLoad } from "@dandelionbank/types";
import { createTrackState, readFigures, step } from "./mod.ts";
import type {
  IncomingRequest,
  KeyHome,
  RunningDigest,
  TrackEffect,
  TrackEvent,
  TrackOptions,
} from "./mod.ts";

const LOAD: TargetLoad = { inFlight: 0, queued: 0, cachedTokens: 0 };

const OPTIONS: TrackOptions = {
  incarnation: "e1",
  progressTimeoutMs: 1_000,
  hedgeAfterMs: undefined,
  maxAttempts: 3,
  retryShare: 0.1,
  retryBurst: 2,
  retryAfterMs: 500,
  maxKeys: 3,
  maxKeptBytes: 100,
  createDigest: createTextDigest,
};

/** Stands in for SHA-256: the text is its own digest. */
function createTextDigest(): RunningDigest {
  let text = "";
  return {
    add: (data) => {
      text += data;
    },
    get lengthBytes() {
      return text.length;
    },
    finish: () => text,
  };
}

interface Entry {
  /** Steps the core and shows its effects shortly. */
  readonly feed: (event: TrackEvent, nowMs?: number) => string;
  readonly figures: () => ReturnType<typeof readFigures>;
}

function createEntry(options: Partial<TrackOptions> = {}): Entry {
  const state = createTrackState({ ...OPTIONS, ...options });
  step(state, { type: "arbiterConfirmed", untilMs: 100_000 }, 0);
  const feed = (event: TrackEvent, nowMs = 0) =>
    step(state, event, nowMs).effects.map(show).join();
  return { feed, figures: () => readFigures(state) };
}

function show(effect: TrackEffect): string {
  switch (effect.type) {
    case "findHome":
      return `findHome ${effect.requestId}`;
    case "pickTarget":
      return `pick ${effect.requestId}${
        effect.avoid.length === 0 ? "" : ` not ${effect.avoid.join("+")}`
      }`;
    case "dispatch":
      return `dispatch ${effect.attemptId} ${effect.target}`;
    case "passToHome":
      return `pass ${effect.attemptId} ${effect.incarnation} over ${effect.supersedes}`;
    case "askAbout":
      return `ask ${effect.attemptId} ${effect.target}`;
    case "cancelAttempt":
      return `cancel ${effect.attemptId}`;
    case "sendHead":
      return `${effect.callerId}<${effect.status}`;
    case "sendData":
      return `${effect.callerId}<${effect.data}`;
    case "sendEnd":
      return `${effect.callerId}<end`;
    case "answer": {
      const { outcome } = effect;
      const proof = outcome.kind === "notRun" ? ` ${outcome.proof.kind}` : "";
      return `${effect.callerId}<${outcome.kind} ${outcome.code}${proof}`;
    }
    case "attemptCrashed":
      return `crashed ${effect.target}`;
    case "frameDropped":
      return `dropped ${effect.reason}`;
    case "requestEnded":
      return `ended ${effect.outcome}`;
    case "violation":
      return `violation ${effect.invariant}`;
  }
}

function arrived(
  callerId: string,
  request: Partial<IncomingRequest> = {},
): TrackEvent {
  return {
    type: "requestArrived",
    callerId,
    request: {
      requestId: `r${callerId}`,
      organisation: "acme",
      pool: "pool",
      fingerprint: "f",
      idempotent: false,
      resumable: false,
      timeLeftMs: 10_000,
      ...request,
    },
  };
}

const KEYED = { key: { keyId: "k", homeIncarnation: "e1" } };
const IDEMPOTENT = { idempotent: true, resumable: true };
const TICK: TrackEvent = { type: "tick" };

function home(caller: string, found: KeyHome): TrackEvent {
  return { type: "homeFound", requestId: `r${caller}`, home: found };
}

const HERE: KeyHome = { kind: "here", expiresAtMs: 50_000 };

function picked(caller: string, target: string): TrackEvent {
  return {
    type: "targetPicked",
    requestId: `r${caller}`,
    target,
    agentIncarnation: `${target}i`,
  };
}

function noTarget(caller: string): TrackEvent {
  return {
    type: "noTarget",
    requestId: `r${caller}`,
    code: "noTarget",
    retryAfterMs: 100,
  };
}

function framed(frame: AttemptFrame): TrackEvent {
  return { type: "frameArrived", frame };
}

function admitted(attemptId: string): TrackEvent {
  return framed({ type: "admitted", attemptId, answeredBy: attemptId });
}

function refused(attemptId: string, code = "agentStopping"): TrackEvent {
  return framed({
    type: "refused",
    attemptId,
    code,
    retryAfterMs: 0,
    load: LOAD,
  });
}

function failed(
  attemptId: string,
  mayHaveRun: boolean,
  code = "targetFailed",
): TrackEvent {
  return framed({ type: "failed", attemptId, code, mayHaveRun, load: LOAD });
}

function headed(attemptId: string, status = 200): TrackEvent {
  return framed({
    type: "head",
    attemptId,
    status,
    contentType: "text/plain",
    encoding: "utf8",
  });
}

function data(attemptId: string, sequence: number, text: string): TrackEvent {
  return framed({ type: "data", attemptId, sequence, data: text });
}

function ended(attemptId: string, text: string): TrackEvent {
  return framed({
    type: "end",
    attemptId,
    lengthBytes: text.length,
    digest: text,
    load: LOAD,
  });
}

function lost(attemptId: string): TrackEvent {
  return { type: "connectionLost", attemptId };
}

const AGENT_A_LOST: TrackEvent = {
  type: "agentLost",
  target: "A",
  agentIncarnation: "Ai",
};

type Line = readonly [event: TrackEvent, effects: string, nowMs?: number];

interface Case {
  readonly name: string;
  readonly options?: Partial<TrackOptions>;
  readonly lines: readonly Line[];
}

/** A request without a key that was sent to target A as attempt e1.1. */
function sentToA(request: Partial<IncomingRequest> = {}): readonly Line[] {
  return [
    [arrived("1", request), "pick r1"],
    [picked("1", "A"), "dispatch e1.1 A"],
  ];
}

/** The same with a key whose home is here. */
function keyedToA(request: Partial<IncomingRequest> = {}): readonly Line[] {
  return [
    [arrived("1", { ...KEYED, ...request }), "findHome r1"],
    [home("1", HERE), "pick r1"],
    [picked("1", "A"), "dispatch e1.1 A"],
  ];
}

const CASES: readonly Case[] = [
  {
    name: "A whole answer is passed on as it comes, and once",
    lines: [
      ...sentToA(),
      [admitted("e1.1"), ""],
      [headed("e1.1"), "1<200"],
      [data("e1.1", 0, "ab"), "1<ab"],
      [data("e1.1", 0, "ab"), "dropped repeated"],
      [data("e1.1", 1, "c"), "1<c"],
      [ended("e1.1", "abc"), "1<end,ended answered"],
      [ended("e1.1", "abc"), "dropped unknownAttempt"],
    ],
  },
  {
    name: "A short answer is asked about, and a corrupt one ends in an error",
    lines: [
      ...sentToA(),
      [headed("e1.1"), "1<200"],
      [data("e1.1", 0, "ab"), "1<ab"],
      [data("e1.1", 2, "d"), "dropped gap,ask e1.1 A"],
      [ended("e1.1", "abcd"), ""],
      [data("e1.1", 1, "c"), "1<c"],
      [ended("e1.1", "abX"), "1<failed answerCut,ended failed"],
    ],
  },
  {
    name: "What was never dispatched is not run, and says when to come back",
    lines: [
      [arrived("1"), "pick r1"],
      [noTarget("1"), "1<notRun noTarget neverDispatched,ended notRun"],
      [arrived("2"), "pick r2"],
      [TICK, "2<notRun deadlineExceeded neverDispatched,ended notRun", 10_000],
      [picked("2", "A"), ""],
    ],
  },
  {
    name: "What agents refused goes elsewhere, and is not run if none is left",
    lines: [
      ...sentToA(),
      [refused("e1.1"), "pick r1 not A"],
      [picked("1", "B"), "dispatch e1.2 B"],
      [refused("e1.2"), "pick r1 not A+B"],
      [noTarget("1"), "1<notRun noTarget refusedByAgent,ended notRun"],
    ],
  },
  {
    name: "A call that may have run is not repeated and not called not run",
    lines: [
      ...sentToA(),
      [failed("e1.1", true), "1<unknown targetFailed,ended unknown"],
    ],
  },
  {
    name: "A call that broke off after its head has failed",
    lines: [
      ...sentToA(),
      [headed("e1.1"), "1<200"],
      [failed("e1.1", true), "1<failed targetFailed,ended failed"],
    ],
  },
  {
    name: "A silent attempt is asked about before anything else, then unknown",
    lines: [
      ...sentToA(),
      [TICK, "", 999],
      [TICK, "ask e1.1 A", 1_000],
      [TICK, "", 2_999],
      [TICK, "ask e1.1 A", 3_000],
      [TICK, "1<unknown deadlineExceeded,ended unknown", 10_000],
    ],
  },
  {
    name: "An ask that finds the attempt never arrived lets it go elsewhere",
    lines: [
      ...sentToA(),
      [lost("e1.1"), "ask e1.1 A"],
      [lost("e1.1"), ""],
      [refused("e1.1", "neverArrived"), "pick r1 not A"],
    ],
  },
  {
    name: "An ask whose connection is lost is soon made again",
    lines: [
      ...sentToA(IDEMPOTENT),
      [lost("e1.1"), "ask e1.1 A"],
      [lost("e1.1"), "", 1],
      [TICK, "", 249],
      [TICK, "ask e1.1 A", 250],
      [lost("e1.1"), "", 251],
      [TICK, "", 749],
      [TICK, "cancel e1.1,pick r1 not A", 750],
    ],
  },
  {
    name: "A call that may be repeated is, after two asks",
    lines: [
      ...sentToA(IDEMPOTENT),
      [TICK, "ask e1.1 A", 1_000],
      [TICK, "ask e1.1 A", 3_000],
      [TICK, "cancel e1.1,pick r1 not A", 7_000],
      [picked("1", "B"), "dispatch e1.2 B", 7_000],
    ],
  },
  {
    name: "A cut answer is started again, compared and continued",
    lines: [
      ...sentToA(IDEMPOTENT),
      [headed("e1.1"), "1<200"],
      [data("e1.1", 0, "abc"), "1<abc"],
      [AGENT_A_LOST, "crashed A,pick r1 not A"],
      [picked("1", "B"), "dispatch e1.2 B"],
      [headed("e1.2"), ""],
      [data("e1.2", 0, "ab"), ""],
      [data("e1.1", 1, "X"), "dropped closedAttempt"],
      [data("e1.2", 1, "cd"), "1<d"],
      [ended("e1.2", "abcd"), "1<end,ended answered"],
    ],
  },
  {
    name: "An answer that differs from what was sent ends in an error",
    lines: [
      ...sentToA(IDEMPOTENT),
      [headed("e1.1"), "1<200"],
      [data("e1.1", 0, "abc"), "1<abc"],
      [AGENT_A_LOST, "crashed A,pick r1 not A"],
      [picked("1", "B"), "dispatch e1.2 B"],
      [headed("e1.2"), ""],
      [data("e1.2", 0, "aX"), "1<failed answerDiffers,ended failed"],
    ],
  },
  {
    name: "A second answer that is shorter than what was sent is no end",
    lines: [
      ...sentToA(IDEMPOTENT),
      [headed("e1.1"), "1<200"],
      [data("e1.1", 0, "abc"), "1<abc"],
      [AGENT_A_LOST, "crashed A,pick r1 not A"],
      [picked("1", "B"), "dispatch e1.2 B"],
      [headed("e1.2"), ""],
      [data("e1.2", 0, "a"), ""],
      [ended("e1.2", "a"), "1<failed answerDiffers,ended failed"],
    ],
  },
  {
    name: "Retries stay within their budget",
    options: { retryBurst: 1 },
    lines: [
      ...sentToA(IDEMPOTENT),
      [failed("e1.1", true), "pick r1 not A"],
      [picked("1", "B"), "dispatch e1.2 B"],
      [failed("e1.2", true), "1<failed targetFailed,ended failed"],
    ],
  },
  {
    name: "A slow call that may be repeated is hedged; the first head wins",
    options: { hedgeAfterMs: 300 },
    lines: [
      ...sentToA(IDEMPOTENT),
      [TICK, "pick r1 not A", 300],
      [picked("1", "B"), "dispatch e1.2 B", 300],
      [TICK, "", 700],
      [headed("e1.2"), "1<200,cancel e1.1", 700],
      [headed("e1.1"), "dropped closedAttempt", 700],
    ],
  },
  {
    name: "A call that may not be repeated is never hedged",
    options: { hedgeAfterMs: 300 },
    lines: [...sentToA(), [TICK, "", 900]],
  },
  {
    name: "A repeat joins the request and has the answer from its beginning",
    lines: [
      ...keyedToA(),
      [headed("e1.1"), "1<200"],
      [data("e1.1", 0, "ab"), "1<ab"],
      [arrived("2", KEYED), "2<200,2<ab,ended merged"],
      [data("e1.1", 1, "c"), "1<c,2<c"],
      [ended("e1.1", "abc"), "1<end,2<end,ended answered"],
      [arrived("3", KEYED), "3<200,3<ab,3<c,3<end,ended merged"],
    ],
  },
  {
    name: "A key used for another call is an error, running or ended",
    lines: [
      ...keyedToA(),
      [
        arrived("2", { ...KEYED, fingerprint: "g" }),
        "2<notRun keyReused neverDispatched,ended merged",
      ],
      [headed("e1.1"), "1<200"],
      [ended("e1.1", ""), "1<end,ended answered"],
      [
        arrived("3", { ...KEYED, fingerprint: "g" }),
        "3<notRun keyReused neverDispatched,ended merged",
      ],
    ],
  },
  {
    name: "Another organisation never sees the answer",
    lines: [
      ...keyedToA(),
      [
        arrived("2", { ...KEYED, organisation: "other" }),
        "violation answerStaysInOrganisation,2<notRun keyReused neverDispatched,ended merged",
      ],
    ],
  },
  {
    name: "After unknown, a keyed attempt is followed and its answer kept",
    lines: [
      ...keyedToA(),
      [TICK, "1<unknown deadlineExceeded", 10_000],
      [headed("e1.1"), "", 11_000],
      [ended("e1.1", ""), "ended answered", 11_000],
      [arrived("2", KEYED), "2<200,2<end,ended merged", 11_000],
    ],
  },
  {
    name: "After unknown, a refusal makes a keyed call free again",
    lines: [
      ...keyedToA(),
      [TICK, "1<unknown deadlineExceeded", 10_000],
      [refused("e1.1", "neverArrived"), "ended notRun", 11_000],
      [arrived("2", KEYED), "findHome r2", 11_000],
    ],
  },
  {
    name: "A lost keyed call stays unknown",
    lines: [
      ...keyedToA(),
      [AGENT_A_LOST, "1<unknown attemptLost,ended unknown"],
      [arrived("2", KEYED), "2<unknown attemptLost,ended merged"],
    ],
  },
  {
    name: "An expired ticket's key is unknown, as it may have run",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", { kind: "here", expiresAtMs: 5 }),
        "1<unknown ticketExpired,ended unknown",
        5,
      ],
    ],
  },
  {
    name: "No key is called not run by an entry that may have been replaced",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [home("1", HERE), "pick r1"],
      [{ type: "arbiterClosed" }, ""],
      [noTarget("1"), "1<unknown arbiterUnsure,ended unknown"],
    ],
  },
  {
    name: "The word of an agent that the incarnation is closed counts too",
    lines: [
      ...keyedToA(),
      [refused("e1.1", "incarnationClosed"), "pick r1 not A"],
      [noTarget("1"), "1<unknown arbiterUnsure,ended unknown"],
    ],
  },
  {
    name: "A full table refuses new keys and keeps those it has",
    options: { maxKeys: 1 },
    lines: [
      ...keyedToA(),
      [
        arrived("2", { key: { keyId: "l", homeIncarnation: "e1" } }),
        "findHome r2",
      ],
      [home("2", HERE), "2<notRun tableFull neverDispatched,ended notRun"],
      [arrived("3", KEYED), "ended merged"],
    ],
  },
  {
    name: "Changed timing holds for requests under way",
    lines: [
      ...sentToA(),
      [
        {
          type: "timingChanged",
          progressTimeoutMs: 100,
          hedgeAfterMs: undefined,
        },
        "",
      ],
      [TICK, "", 99],
      [TICK, "ask e1.1 A", 100],
    ],
  },
  {
    name: "A home that hangs up is asked again only after a while",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", { kind: "elsewhere", incarnation: "e2" }),
        "pass e1.1 e2 over ",
      ],
      [lost("e1.1"), ""],
      [TICK, "", 249],
      [TICK, "", 999],
      [TICK, "cancel e1.1,findHome r1", 1_000],
      [
        home("1", { kind: "elsewhere", incarnation: "e2" }),
        "pass e1.2 e2 over 1",
        1_000,
      ],
      [lost("e1.2"), "", 1_249],
    ],
  },
  {
    name: "A key of another home is passed on, again after silence",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", { kind: "elsewhere", incarnation: "e2" }),
        "pass e1.1 e2 over ",
      ],
      [headed("e1.1"), "1<200"],
      [data("e1.1", 0, "a"), "1<a"],
      [TICK, "cancel e1.1,findHome r1", 1_000],
      [home("1", { kind: "lost" }), "", 1_000],
      [TICK, "findHome r1", 1_250],
      [
        home("1", { kind: "elsewhere", incarnation: "e3" }),
        "pass e1.2 e3 over 1",
        1_250,
      ],
      [headed("e1.2"), "", 1_300],
      [data("e1.2", 0, "ab"), "1<b", 1_300],
      [ended("e1.2", "ab"), "1<end,ended answered", 1_300],
    ],
  },
  {
    name: "The home's outcome is passed on; without it the outcome is unknown",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", { kind: "elsewhere", incarnation: "e2" }),
        "pass e1.1 e2 over ",
      ],
      [
        {
          type: "frameArrived",
          frame: {
            type: "outcome",
            attemptId: "e1.1",
            outcome: {
              kind: "notRun",
              proof: { kind: "neverDispatched" },
              code: "noTarget",
              retryAfterMs: 1,
            },
          },
        },
        "1<notRun noTarget neverDispatched,ended notRun",
      ],
      [arrived("2", KEYED), "findHome r2"],
      [
        home("2", { kind: "elsewhere", incarnation: "e2" }),
        "pass e1.2 e2 over ",
      ],
      [lost("e1.2"), ""],
      [lost("e1.2"), "cancel e1.2,findHome r2", 250],
      [TICK, "2<unknown deadlineExceeded,ended unknown", 10_000],
    ],
  },
  {
    name: "A late or doubled relayed request is dropped",
    lines: [
      [
        arrived("2", {
          ...KEYED,
          relay: { entryIncarnation: "e2", number: 2, supersedes: [1] },
        }),
        "findHome r2",
      ],
      [
        arrived("1", {
          ...KEYED,
          relay: { entryIncarnation: "e2", number: 1, supersedes: [] },
        }),
        "dropped closedAttempt",
      ],
      [
        arrived("2", {
          ...KEYED,
          relay: { entryIncarnation: "e2", number: 2, supersedes: [1] },
        }),
        "dropped closedAttempt",
      ],
    ],
  },
  {
    name: "An inherited key that an agent has is asked for there, never run",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", {
          kind: "held",
          target: "A",
          agentIncarnation: "Ai",
          expiresAtMs: 50_000,
        }),
        "ask e1.1 A",
      ],
      [refused("e1.1", "neverArrived"), "1<unknown noTarget,ended unknown"],
    ],
  },
  {
    name: "An inherited key that turns out to be another call's is left to it",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", {
          kind: "held",
          target: "A",
          agentIncarnation: "Ai",
          expiresAtMs: 50_000,
        }),
        "ask e1.1 A",
      ],
      [refused("e1.1", "keyReused"), "1<unknown keyReused,ended unknown"],
      [arrived("2", { ...KEYED, fingerprint: "g" }), "findHome r2"],
    ],
  },
  {
    name: "A key that may have run is not called not run, though repeatable",
    lines: [
      ...keyedToA(IDEMPOTENT),
      [failed("e1.1", true), "pick r1 not A"],
      [noTarget("1"), "1<failed noTarget,ended failed"],
      [arrived("2", { ...KEYED, ...IDEMPOTENT }), "findHome r2"],
      [home("2", HERE), "pick r2"],
      [noTarget("2"), "2<failed noTarget,ended failed"],
      [
        arrived("3", { ...KEYED, ...IDEMPOTENT, fingerprint: "g" }),
        "3<unknown keyReused,ended merged",
      ],
    ],
  },
  {
    name: "A request that joins another when its home is found leaves nothing",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [arrived("2", KEYED), "findHome r2"],
      [home("1", HERE), "pick r1"],
      [picked("1", "A"), "dispatch e1.1 A"],
      [headed("e1.1"), "1<200"],
      [ended("e1.1", ""), "1<end,ended answered"],
      [home("2", HERE), "2<200,2<end,ended merged"],
      [{ type: "callerLeft", callerId: "2" }, ""],
    ],
  },
  {
    name: "An inherited key that may have run is unknown; a free one runs",
    lines: [
      [arrived("1", KEYED), "findHome r1"],
      [
        home("1", { kind: "unknown", expiresAtMs: 50_000 }),
        "1<unknown attemptLost,ended unknown",
      ],
      [arrived("2", KEYED), "2<unknown attemptLost,ended merged"],
      [
        arrived("3", { key: { keyId: "l", homeIncarnation: "x" } }),
        "findHome r3",
      ],
      [home("3", { kind: "free", expiresAtMs: 50_000 }), "pick r3"],
    ],
  },
  {
    name:
      "Nothing is dispatched for a caller that left, nor cut if unrepeatable",
    lines: [
      [arrived("1"), "pick r1"],
      [{ type: "callerLeft", callerId: "1" }, "ended abandoned"],
      [picked("1", "A"), ""],
      [arrived("2", IDEMPOTENT), "pick r2"],
      [picked("2", "A"), "dispatch e1.1 A"],
      [{ type: "callerLeft", callerId: "2" }, "cancel e1.1,ended abandoned"],
      [arrived("3"), "pick r3"],
      [picked("3", "A"), "dispatch e1.2 A"],
      [{ type: "callerLeft", callerId: "3" }, "ended abandoned"],
    ],
  },
  {
    name: "A head that certainly was not sent proves that nothing ran",
    lines: [
      ...sentToA(),
      [{ type: "dispatchFailed", attemptId: "e1.1" }, "pick r1 not A"],
      [noTarget("1"), "1<notRun noTarget neverDispatched,ended notRun"],
    ],
  },
  {
    name: "A refusal after part of an answer is a violation and no proof",
    lines: [
      ...sentToA(),
      [headed("e1.1"), "1<200"],
      [
        refused("e1.1"),
        "violation refusedNeverAnswered,1<failed noTarget,ended failed",
      ],
    ],
  },
];

for (const { name, options, lines } of CASES) {
  test(name, () => {
    const entry = createEntry(options);
    for (const [event, effects, nowMs] of lines) {
      assert.equal(entry.feed(event, nowMs), effects);
    }
    const { callers, requests } = entry.figures();
    assert.ok(callers <= requests * 2, `${callers} callers are left`);
  });
}

test("Kept answers stay within their bytes, and results expire", () => {
  const entry = createEntry({ maxKeptBytes: 3 });
  const text = "abcd";
  for (const [event] of keyedToA()) entry.feed(event);
  entry.feed(headed("e1.1"));
  entry.feed(data("e1.1", 0, text));
  entry.feed(ended("e1.1", text));
  assert.equal(entry.figures().keptBytes, 0);
  assert.equal(
    entry.feed(arrived("2", KEYED)),
    "2<failed answerNotKept,ended merged",
  );
  assert.equal(entry.figures().keys, 1);
  entry.feed(TICK, 50_000);
  assert.deepEqual(entry.figures(), {
    requests: 0,
    openAttempts: 0,
    callers: 0,
    keys: 0,
    keptBytes: 0,
  });
});
