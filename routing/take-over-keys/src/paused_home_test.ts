import assert from "node:assert/strict";
import { test } from "node:test";
import * as admit from "@dandelionbank/admit-attempts";
import { formatTicket } from "@dandelionbank/read-ticket";
import { createTakeOverState, findHome, step } from "./mod.ts";

const TICKET = {
  incarnation: "paused",
  revision: 5,
  issuedAtMs: 1,
  expiresAtMs: 60_000,
};
const KEY = `${formatTicket(TICKET, "s")}/booking`;

function createAgent(incarnation: string): admit.AdmitState {
  return admit.createAdmitState({
    incarnation,
    maxInFlight: 5,
    maxKeys: 5,
    maxKeptBytes: 100,
    keyRetentionMs: 60_000,
    lingerMs: 1_000,
    retryAfterMs: 10,
  });
}

/** Returns how an agent handles a new attempt of an entry under the key. */
function sendTo(
  agent: admit.AdmitState,
  sent: { readonly entry: string; readonly agentIncarnation: string },
): string {
  const { effects } = admit.step(agent, {
    type: "attemptArrived",
    keyId: KEY,
    agentIncarnation: sent.agentIncarnation,
    head: {
      attemptId: `${sent.entry}.1`,
      requestId: "r",
      organisation: "acme",
      key: KEY,
      fingerprint: "0123456789abcdef",
      entry: sent.entry,
      entryIncarnation: sent.entry,
      idempotent: false,
      method: "POST",
      path: "/",
      contentType: "t",
      priority: 0,
      timeLeftMs: 1_000,
      viewRevision: 5,
    },
  }, 0);
  const [effect] = effects;
  return effect?.type === "refuse" ? effect.code : String(effect?.type);
}

// Guards against a key that runs twice: its home entry is paused, a successor
// takes the key over and runs it, and the home entry resumes and sends it too.
test("A resumed home entry finds no agent that accepts its key after a takeover", () => {
  const asked = createAgent("asked");
  admit.step(asked, { type: "closingsRead", incarnations: [] }, 0);
  const successor = createTakeOverState({
    incarnation: "successor",
    leaseMs: 100,
    askTimeoutMs: 100,
    unreachableAfterMs: 500,
    keyRetentionMs: 60_000,
    maxConcurrentAsks: 5,
  });
  const agents = [{ target: "A", pool: "p", incarnation: "asked" }];
  step(successor, { type: "viewReset", revision: 5, agents }, 0);
  step(successor, { type: "closingWritten", incarnation: "paused" }, 0);
  const listed = { incarnation: "paused", revision: 7, agents };
  const { effects } = step(successor, { type: "agentsListed", ...listed }, 0);

  const late = createAgent("late");
  const fresh = { entry: "paused", agentIncarnation: "late" };
  assert.equal(sendTo(late, fresh), "agentStarting");
  admit.step(late, { type: "closingsRead", incarnations: ["paused"] }, 0);

  for (const effect of effects) {
    if (effect.type !== "askKeys") continue;
    const { askId, incarnations } = effect;
    const ask = { type: "keysRequested", askId, incarnations } as const;
    for (const answer of admit.step(asked, ask, 0).effects) {
      assert.equal(answer.type, "answerKeys");
      if (answer.type !== "answerKeys") continue;
      step(successor, { ...answer, type: "keysReported" }, 0);
    }
  }
  step(successor, { type: "revisionReached", revision: 7 }, 0);
  step(successor, { type: "tick" }, 100);
  const query = { keyId: KEY, pool: "p", ticket: TICKET };
  assert.equal(findHome(successor, query).kind, "free");

  const again = { entry: "paused", agentIncarnation: "asked" };
  assert.equal(sendTo(asked, again), "incarnationClosed");
  assert.equal(sendTo(late, fresh), "incarnationClosed");
  const accepted = { entry: "successor", agentIncarnation: "late" };
  assert.equal(sendTo(late, accepted), "run");
});
