import assert from "node:assert/strict";
import { test } from "node:test";
import { createTakeOverState, findHome, step } from "./mod.ts";
import type {
  HomeQuery,
  RegisteredAgent,
  TakeOverEffect,
  TakeOverEvent,
  TakeOverOptions,
} from "./mod.ts";

const OPTIONS: TakeOverOptions = {
  incarnation: "me",
  leaseMs: 250,
  askTimeoutMs: 200,
  unreachableAfterMs: 1_000,
  keyRetentionMs: 5_000,
  maxConcurrentAsks: 2,
};

const A: RegisteredAgent = { target: "A", pool: "p", incarnation: "A1" };
const B: RegisteredAgent = { target: "B", pool: "p", incarnation: "B1" };
const C: RegisteredAgent = { target: "C", pool: "q", incarnation: "C1" };

interface Entry {
  /** Applies an event and returns the effects as text. */
  readonly feed: (event: TakeOverEvent, nowMs?: number) => string;
  /** Returns the arbiter and the state of a key as text. */
  readonly home: (query?: Partial<Query>) => string;
}

interface Query {
  readonly keyId: string;
  readonly pool: string;
  readonly incarnation: string;
  readonly revision: number;
  readonly issuedAtMs: number;
}

function createEntry(): Entry {
  const state = createTakeOverState(OPTIONS);
  const feed = (event: TakeOverEvent, nowMs = 0) =>
    step(state, event, nowMs).effects.map(formatEffect).join();
  feed({ type: "viewReset", revision: 10, agents: [A, B, C] });
  feed({ type: "entriesChanged", incarnations: ["me", "x", "y"] });
  feed({ type: "ownLeaseRenewed", untilMs: 90_000 });
  const home = (query: Partial<Query> = {}) => {
    const found = findHome(state, toQuery(query));
    if (found.kind === "elsewhere") return `elsewhere ${found.incarnation}`;
    return found.kind === "held" ? `held ${found.target}` : found.kind;
  };
  return { feed, home };
}

function toQuery(query: Partial<Query>): HomeQuery {
  const { keyId = "k", pool = "p", ...ticket } = query;
  return {
    keyId,
    pool,
    ticket: {
      incarnation: "x",
      revision: 12,
      issuedAtMs: 7,
      expiresAtMs: 9_999,
      ...ticket,
    },
  };
}

function formatEffect(effect: TakeOverEffect): string {
  switch (effect.type) {
    case "writeClosing":
      return `close ${effect.incarnation}`;
    case "listAgents":
      return `list ${effect.incarnation}`;
    case "askKeys":
      return `ask ${effect.target} ${effect.incarnations.join("+")}`;
    case "takeoverCompleted":
      return `completed ${effect.heldKeys} ${effect.unreachableAgents}`;
  }
}

const LOST: TakeOverEvent = { type: "entryLost", incarnation: "x" };
const CLOSED: TakeOverEvent = { type: "closingWritten", incarnation: "x" };
const TICK: TakeOverEvent = { type: "tick" };

function listed(
  agents: readonly RegisteredAgent[] = [A, B, C],
  incarnation = "x",
): TakeOverEvent {
  return { type: "agentsListed", incarnation, revision: 20, agents };
}

function answered(
  target: string,
  report: {
    readonly keys?: readonly string[];
    readonly forgottenIssuedAtMs?: number;
    readonly agentIncarnation?: string;
    readonly incarnations?: readonly string[];
  } = {},
): TakeOverEvent {
  const { keys = [], forgottenIssuedAtMs = -1, incarnations = ["x"] } = report;
  return {
    type: "keysReported",
    askId: `x\n${target}`,
    agentIncarnation: report.agentIncarnation ?? `${target}1`,
    homes: incarnations.map((incarnation) => ({
      incarnation,
      forgottenIssuedAtMs,
      keys: keys.map((keyId) => ({ keyId, standing: "kept" })),
    })),
  };
}

/** Creates an entry that closed x, listed the agents and has a current view. */
function createSuccessor(): Entry {
  const entry = createEntry();
  entry.feed(LOST);
  entry.feed(CLOSED);
  entry.feed(listed());
  entry.feed({ type: "revisionReached", revision: 20 });
  return entry;
}

function waitForLease(entry: Entry): string {
  return [100, 200, 300].map((nowMs) => entry.feed(TICK, nowMs)).join("");
}

test("Writes the closing first, then lists the agents and asks them", () => {
  const entry = createEntry();
  assert.equal(entry.home(), "elsewhere x");
  assert.equal(entry.feed(LOST), "close x");
  assert.equal(entry.feed(CLOSED), "list x");
  assert.equal(entry.feed(listed()), "ask A x,ask B x");
  assert.equal(entry.feed(answered("A")), "ask C x");
  assert.equal(entry.feed(LOST), "");
  assert.equal(entry.feed({ type: "entryLost", incarnation: "me" }), "");
});

test("Frees a key that no agent holds after the lease, with a current view", () => {
  const entry = createEntry();
  entry.feed(LOST);
  entry.feed(CLOSED);
  entry.feed(listed());
  for (const target of ["A", "B", "C"]) entry.feed(answered(target));
  assert.equal(entry.home(), "pending");
  assert.equal(waitForLease(entry), "completed 0 0");
  assert.equal(entry.home(), "pending");
  entry.feed({ type: "revisionReached", revision: 20 });
  assert.equal(entry.home(), "free");
});

test("A clock jump does not end the lease early", () => {
  const entry = createSuccessor();
  for (const target of ["A", "B", "C"]) entry.feed(answered(target));
  assert.equal(entry.feed(TICK, 4_000), "");
  assert.equal(entry.feed(TICK, 4_149), "");
  assert.equal(entry.home(), "pending");
  assert.equal(entry.feed(TICK, 4_200), "completed 0 0");
});

test("Reports a held key as soon as its agent answers", () => {
  const entry = createSuccessor();
  entry.feed(answered("B", { keys: ["k"] }));
  assert.equal(entry.home(), "held B");
  assert.equal(entry.home({ keyId: "other" }), "pending");
});

test("Keys of an unreachable agent's pool are unknown until it answers", () => {
  const entry = createSuccessor();
  entry.feed(answered("A"));
  entry.feed(answered("C"));
  assert.equal(waitForLease(entry), "ask B x");
  assert.equal(entry.home({ pool: "q" }), "free");
  assert.equal(entry.home(), "pending");
  assert.match(entry.feed(TICK, 1_000), /completed 0 1/);
  assert.equal(entry.home(), "unknown");
  assert.equal(entry.feed(answered("B"), 1_100), "");
  assert.equal(entry.home(), "free");
});

test("Keys are unknown if an agent was lost after the ticket was issued", () => {
  const lossesAtRevision: readonly (readonly [number, string])[] = [
    [11, "free"],
    [12, "free"],
    [13, "unknown"],
    [20, "unknown"],
  ];
  for (const [revision, expected] of lossesAtRevision) {
    const entry = createEntry();
    const agent = { ...B, incarnation: "B2" };
    entry.feed({ type: "agentChanged", agent, revision });
    entry.feed(LOST);
    entry.feed(CLOSED);
    entry.feed(listed([A, agent, C]));
    entry.feed({ type: "revisionReached", revision: 20 });
    entry.feed(answered("A"));
    entry.feed(answered("B", { agentIncarnation: "B2" }));
    entry.feed(answered("C"));
    waitForLease(entry);
    assert.equal(entry.home(), expected, `lost at revision ${revision}`);
    assert.equal(entry.home({ pool: "q" }), "free");
  }
});

test("A key is unknown if the view starts after its ticket", () => {
  const entry = createSuccessor();
  for (const target of ["A", "B", "C"]) entry.feed(answered(target));
  waitForLease(entry);
  assert.equal(entry.home({ revision: 9 }), "unknown");
  assert.equal(entry.home({ revision: 10 }), "free");
});

test("Keys are unknown if an agent was removed or replaced before it answered", () => {
  const removed = createEntry();
  removed.feed({ type: "agentRemoved", target: "B", revision: 15 });
  removed.feed(LOST);
  removed.feed(CLOSED);
  removed.feed(listed([A]));
  removed.feed({ type: "revisionReached", revision: 20 });
  removed.feed(answered("A"));
  waitForLease(removed);
  assert.equal(removed.home(), "unknown");

  const replaced = createSuccessor();
  replaced.feed(answered("A"));
  replaced.feed(answered("B", { agentIncarnation: "B2" }));
  waitForLease(replaced);
  assert.equal(replaced.home(), "unknown");
});

test("Keys that an agent may have evicted are unknown", () => {
  const entry = createSuccessor();
  entry.feed(answered("A", { forgottenIssuedAtMs: 7 }));
  entry.feed(answered("B"));
  waitForLease(entry);
  assert.equal(entry.home({ issuedAtMs: 7 }), "unknown");
  assert.equal(entry.home({ issuedAtMs: 8 }), "free");
});

test("Inherits the keys that a lost entry had inherited", () => {
  const entry = createEntry();
  entry.feed({ type: "closingObserved", incarnation: "w", successor: "x" });
  assert.equal(entry.home({ incarnation: "w" }), "elsewhere x");
  entry.feed(LOST);
  assert.equal(entry.feed(CLOSED), "list w");
  assert.equal(entry.feed(listed([A], "w")), "ask A w+x");
  const askId = "w\nA";
  const both = { incarnations: ["w", "x"], keys: ["k"] };
  assert.equal(entry.feed({ ...answered("A"), askId } as TakeOverEvent), "");
  assert.equal(entry.home({ incarnation: "w" }), "pending");
  entry.feed({ ...answered("A", both), askId } as TakeOverEvent);
  assert.equal(entry.home({ incarnation: "w" }), "held A");
  assert.equal(entry.home(), "held A");
});

test("Starts a takeover for a closing that is observed late", () => {
  const entry = createSuccessor();
  const late = {
    type: "closingObserved",
    incarnation: "w",
    successor: "x",
  } as const;
  assert.equal(entry.feed(late), "list w");
  assert.equal(entry.home({ incarnation: "w" }), "pending");
});

test("Distinguishes local, remote and unreachable homes", () => {
  const entry = createEntry();
  assert.equal(entry.home({ incarnation: "me" }), "here");
  assert.equal(entry.home({ incarnation: "gone" }), "lost");
  entry.feed({ type: "closingObserved", incarnation: "gone", successor: "y" });
  assert.equal(entry.home({ incarnation: "gone" }), "elsewhere y");
  entry.feed({ type: "entriesChanged", incarnations: ["me"] });
  assert.equal(entry.home({ incarnation: "gone" }), "lost");
});

test("An entry that may have been closed does not close others", () => {
  const paused = createEntry();
  assert.equal(paused.feed(LOST, 90_000), "");
  const closed = createEntry();
  closed.feed({ type: "closingObserved", incarnation: "me", successor: "x" });
  assert.equal(closed.feed(LOST), "");
});

test("Two closed entries that name each other arbitrate no keys", () => {
  const entry = createEntry();
  entry.feed({ type: "closingObserved", incarnation: "x", successor: "y" });
  entry.feed({ type: "closingObserved", incarnation: "y", successor: "x" });
  assert.equal(entry.home(), "lost");
});

test("Discards the answers when the keys have expired", () => {
  const entry = createSuccessor();
  entry.feed(answered("B", { keys: ["k"] }));
  entry.feed(TICK, 4_999);
  assert.equal(entry.home(), "held B");
  assert.equal(entry.feed(TICK, 5_000), "");
  assert.equal(entry.home(), "unknown");
  assert.equal(entry.feed(TICK, 9_000), "");
});
