/**
 * The takeover of a lost entry's keys. The order makes it safe: the closing is
 * written first and the agents are listed after it; each listed agent, once
 * asked, refuses whatever comes from the closed incarnation, and an agent that
 * registers later reads the closings before it takes anything.
 *
 * The state is changed in place and returned, for speed.
 */

import type { Step } from "@dandelionbank/types";
import type {
  AgentsListed,
  KeysAskFailed,
  KeysReported,
  TakeOverEffect,
  TakeOverEvent,
} from "./events.ts";
import {
  findArbiter,
  listTakeovers,
  type TakeOverContext,
  type TakeOverState,
} from "./state.ts";
import { type AskedAgent, Takeover } from "./takeover.ts";

/** Separates a takeover's incarnation from the target in an ask's id. */
const ASK_SEPARATOR = "\n";

export function step(
  state: TakeOverState,
  event: TakeOverEvent,
  nowMs: number,
): Step<TakeOverState, TakeOverEffect> {
  state.nowMs = Math.max(state.nowMs, nowMs);
  const context = { state, nowMs: state.nowMs, effects: [] };
  handle(context, event);
  return { state, effects: context.effects };
}

function handle(context: TakeOverContext, event: TakeOverEvent): void {
  const { state } = context;
  switch (event.type) {
    case "viewReset":
      return state.history.begin(event.revision, event.agents);
    case "agentChanged":
      return state.history.change(event.agent, event.revision);
    case "agentRemoved":
      return state.history.remove(event.target, event.revision);
    case "revisionReached":
      return state.history.reach(event.revision);
    case "entriesChanged":
      state.live.clear();
      event.incarnations.forEach((name) => state.live.add(name));
      return;
    case "closingObserved":
      state.closings.set(event.incarnation, event.successor);
      return coverInherited(context);
    case "ownLeaseRenewed":
      state.confirmedUntilMs = Math.max(state.confirmedUntilMs, event.untilMs);
      return;
    case "entryLost":
      return begin(context, event.incarnation);
    case "closingWritten":
      state.closings.set(event.incarnation, state.options.incarnation);
      return coverInherited(context);
    case "agentsListed":
      return takeAgents(context, event);
    case "keysReported":
      return takeAnswer(context, event);
    case "keysAskFailed":
      return takeSilence(context, event);
    case "tick":
      return passTime(context);
  }
}

/**
 * Closes an incarnation, unless it is closed or is this entry's own. An entry
 * that was paused may have been closed itself and must not close its successor.
 */
function begin(context: TakeOverContext, incarnation: string): void {
  const { state, effects } = context;
  const { closings } = state;
  const successor = state.options.incarnation;
  if (incarnation === successor || closings.has(incarnation)) return;
  if (context.nowMs >= state.confirmedUntilMs || closings.has(successor)) {
    return;
  }
  effects.push({ type: "writeClosing", incarnation, successor });
}

/**
 * Starts a takeover of every closed incarnation that this entry answers for
 * and that none covers yet: the one it closed, and those whose keys that one
 * had inherited.
 */
function coverInherited(context: TakeOverContext): void {
  const { state, nowMs, effects } = context;
  const { closings, takeovers } = state;
  const [incarnation, ...others] = [...closings.keys()].filter((closed) =>
    !takeovers.has(closed) &&
    findArbiter(closings, closed) === state.options.incarnation
  );
  if (incarnation === undefined) return;
  const takeover = new Takeover([incarnation, ...others], nowMs);
  for (const covered of takeover.incarnations) {
    takeovers.set(covered, takeover);
  }
  effects.push({ type: "listAgents", incarnation });
}

function takeAgents(context: TakeOverContext, event: AgentsListed): void {
  const takeover = context.state.takeovers.get(event.incarnation);
  if (takeover?.stage !== "listing") return;
  takeover.list(event.agents, event.revision);
  askWaiting(context, takeover);
}

function takeAnswer(context: TakeOverContext, event: KeysReported): void {
  const found = findAsked(context, event.askId);
  if (found === undefined || found.agent.answer === "replaced") return;
  const { takeover, agent } = found;
  if (event.agentIncarnation !== agent.sighting.incarnation) {
    agent.answer = "replaced";
  } else if (takeover.isCoveredBy(event.homes)) {
    takeover.takeAnswer(agent, event.homes);
  }
  askWaiting(context, takeover);
  decide(context, takeover);
}

function takeSilence(context: TakeOverContext, event: KeysAskFailed): void {
  const found = findAsked(context, event.askId);
  if (found?.agent.answer !== "asked") return;
  found.agent.answer = "waiting";
}

function passTime(context: TakeOverContext): void {
  const { askTimeoutMs, keyRetentionMs } = context.state.options;
  for (const takeover of listTakeovers(context.state)) {
    if (takeover.stage === "expired") continue;
    takeover.wait(context.nowMs);
    if (context.nowMs - takeover.closedAtMs >= keyRetentionMs) {
      takeover.expire();
      continue;
    }
    for (const agent of takeover.agents.values()) {
      const silent = context.nowMs - agent.askedAtMs >= askTimeoutMs;
      if (agent.answer === "asked" && silent) agent.answer = "waiting";
    }
    giveUpWaiting(context, takeover);
    askWaiting(context, takeover);
    askUnreachable(context, takeover);
    decide(context, takeover);
  }
}

/** Agents that have not answered in time count as unreachable. */
function giveUpWaiting(context: TakeOverContext, takeover: Takeover): void {
  const { unreachableAfterMs } = context.state.options;
  if (context.nowMs - takeover.closedAtMs < unreachableAfterMs) return;
  for (const agent of takeover.agents.values()) {
    if (agent.answer !== "waiting" && agent.answer !== "asked") continue;
    agent.answer = "unreachable";
  }
}

function askWaiting(context: TakeOverContext, takeover: Takeover): void {
  const { maxConcurrentAsks, askTimeoutMs } = context.state.options;
  let room = maxConcurrentAsks - takeover.countAnswers("asked");
  for (const agent of takeover.agents.values()) {
    if (room <= 0) return;
    if (agent.answer !== "waiting") continue;
    if (context.nowMs - agent.askedAtMs < askTimeoutMs) continue;
    agent.answer = "asked";
    ask(context, { takeover, agent });
    room -= 1;
  }
}

/** An agent that comes back may still free the keys nobody asked for yet. */
function askUnreachable(context: TakeOverContext, takeover: Takeover): void {
  const { askTimeoutMs } = context.state.options;
  for (const agent of takeover.agents.values()) {
    if (agent.answer !== "unreachable") continue;
    if (context.nowMs - agent.askedAtMs < askTimeoutMs) continue;
    ask(context, { takeover, agent });
  }
}

function ask(
  context: TakeOverContext,
  asked: { readonly takeover: Takeover; readonly agent: AskedAgent },
): void {
  const { takeover, agent } = asked;
  const { target, incarnation } = agent.sighting;
  agent.askedAtMs = context.nowMs;
  context.effects.push({
    type: "askKeys",
    askId: [takeover.incarnation, target].join(ASK_SEPARATOR),
    target,
    agentIncarnation: incarnation,
    incarnations: takeover.incarnations,
  });
}

function decide(context: TakeOverContext, takeover: Takeover): void {
  const open = takeover.countAnswers("waiting") +
    takeover.countAnswers("asked");
  if (takeover.stage !== "asking" || open > 0) return;
  if (takeover.waitedMs < context.state.options.leaseMs) return;
  takeover.stage = "decided";
  context.effects.push({
    type: "takeoverCompleted",
    incarnation: takeover.incarnation,
    heldKeys: takeover.heldCount,
    unreachableAgents: takeover.countAnswers("unreachable") +
      takeover.countAnswers("replaced"),
    elapsedMs: context.nowMs - takeover.closedAtMs,
  });
}

function findAsked(
  context: TakeOverContext,
  askId: string,
): { readonly takeover: Takeover; readonly agent: AskedAgent } | undefined {
  const [incarnation = "", target = ""] = askId.split(ASK_SEPARATOR);
  const takeover = context.state.takeovers.get(incarnation);
  const agent = takeover?.agents.get(target);
  return takeover && agent && { takeover, agent };
}
