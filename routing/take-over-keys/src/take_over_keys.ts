/**
 * Takes over the keys of a lost entry. A closing is an object in the platform's
 * store that ends an incarnation of an entry and names its successor, which then
 * arbitrates its keys. Safety depends on the order: the closing is written first,
 * and the agents are listed after it. A listed agent that is asked for its keys
 * refuses everything from the closed incarnation from then on, and an agent that
 * registers later reads the closings before it accepts any attempt.
 *
 * The state is mutated in place and returned, for speed.
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

/** Separates the incarnation from the target in an ask id. */
const ASK_SEPARATOR = "\n";

export function step(
  state: TakeOverState,
  event: TakeOverEvent,
  nowMs: number,
): Step<TakeOverState, TakeOverEffect> {
  state.nowMs = Math.max(state.nowMs, nowMs);
  const context = { state, nowMs: state.nowMs, effects: [] };
  handleEvent(context, event);
  return { state, effects: context.effects };
}

function handleEvent(context: TakeOverContext, event: TakeOverEvent): void {
  const { state } = context;
  switch (event.type) {
    case "viewReset":
      return state.history.reset(event.revision, event.agents);
    case "agentChanged":
      return state.history.recordChange(event.agent, event.revision);
    case "agentRemoved":
      return state.history.recordRemoval(event.target, event.revision);
    case "revisionReached":
      return state.history.advanceTo(event.revision);
    case "entriesChanged":
      state.live.clear();
      event.incarnations.forEach((name) => state.live.add(name));
      return;
    case "closingObserved":
      state.closings.set(event.incarnation, event.successor);
      return startTakeover(context);
    case "ownLeaseRenewed":
      state.ownLeaseUntilMs = Math.max(state.ownLeaseUntilMs, event.untilMs);
      return;
    case "entryLost":
      return handleEntryLost(context, event.incarnation);
    case "closingWritten":
      state.closings.set(event.incarnation, state.options.incarnation);
      return startTakeover(context);
    case "agentsListed":
      return handleAgentsListed(context, event);
    case "keysReported":
      return handleKeysReported(context, event);
    case "keysAskFailed":
      return handleKeysAskFailed(context, event);
    case "tick":
      return handleTick(context);
  }
}

/**
 * Closes a lost incarnation, unless it is already closed or is this entry's own.
 * An entry that was paused may itself have been closed and must not close its
 * successor, so it needs a valid lease.
 */
function handleEntryLost(context: TakeOverContext, incarnation: string): void {
  const { state, effects } = context;
  const { closings } = state;
  const successor = state.options.incarnation;
  if (incarnation === successor || closings.has(incarnation)) return;
  if (context.nowMs >= state.ownLeaseUntilMs || closings.has(successor)) {
    return;
  }
  effects.push({ type: "writeClosing", incarnation, successor });
}

/**
 * Starts a takeover of every closed incarnation that this entry arbitrates and
 * that no takeover covers yet: the one that it closed, and those whose keys that
 * one had inherited.
 */
function startTakeover(context: TakeOverContext): void {
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

function handleAgentsListed(
  context: TakeOverContext,
  event: AgentsListed,
): void {
  const takeover = context.state.takeovers.get(event.incarnation);
  if (takeover?.stage !== "listing") return;
  takeover.setAgents(event.agents, event.revision);
  askWaitingAgents(context, takeover);
}

function handleKeysReported(
  context: TakeOverContext,
  event: KeysReported,
): void {
  const found = findAskedAgent(context, event.askId);
  if (found === undefined || found.agent.state === "replaced") return;
  const { takeover, agent } = found;
  if (event.agentIncarnation !== agent.registered.incarnation) {
    agent.state = "replaced";
  } else if (takeover.isAnsweredBy(event.homes)) {
    takeover.recordAnswer(agent, event.homes);
  }
  askWaitingAgents(context, takeover);
  completeIfAnswered(context, takeover);
}

function handleKeysAskFailed(
  context: TakeOverContext,
  event: KeysAskFailed,
): void {
  const found = findAskedAgent(context, event.askId);
  if (found?.agent.state !== "asked") return;
  found.agent.state = "waiting";
}

function handleTick(context: TakeOverContext): void {
  const { askTimeoutMs, keyRetentionMs } = context.state.options;
  for (const takeover of listTakeovers(context.state)) {
    if (takeover.stage === "expired") continue;
    takeover.advanceWait(context.nowMs);
    if (context.nowMs - takeover.closedAtMs >= keyRetentionMs) {
      takeover.expire();
      continue;
    }
    for (const agent of takeover.agents.values()) {
      const timedOut = context.nowMs - agent.askedAtMs >= askTimeoutMs;
      if (agent.state === "asked" && timedOut) agent.state = "waiting";
    }
    markUnreachable(context, takeover);
    askWaitingAgents(context, takeover);
    askUnreachableAgents(context, takeover);
    completeIfAnswered(context, takeover);
  }
}

/** Marks agents that have not answered in time as unreachable. */
function markUnreachable(context: TakeOverContext, takeover: Takeover): void {
  const { unreachableAfterMs } = context.state.options;
  if (context.nowMs - takeover.closedAtMs < unreachableAfterMs) return;
  for (const agent of takeover.agents.values()) {
    if (agent.state !== "waiting" && agent.state !== "asked") continue;
    agent.state = "unreachable";
  }
}

function askWaitingAgents(context: TakeOverContext, takeover: Takeover): void {
  const { maxConcurrentAsks, askTimeoutMs } = context.state.options;
  let capacity = maxConcurrentAsks - takeover.countAskStates("asked");
  for (const agent of takeover.agents.values()) {
    if (capacity <= 0) return;
    if (agent.state !== "waiting") continue;
    if (context.nowMs - agent.askedAtMs < askTimeoutMs) continue;
    agent.state = "asked";
    sendAsk(context, { takeover, agent });
    capacity -= 1;
  }
}

/**
 * Keeps asking unreachable agents: when one answers, keys of its pool that were
 * `unknown` may become free.
 */
function askUnreachableAgents(
  context: TakeOverContext,
  takeover: Takeover,
): void {
  const { askTimeoutMs } = context.state.options;
  for (const agent of takeover.agents.values()) {
    if (agent.state !== "unreachable") continue;
    if (context.nowMs - agent.askedAtMs < askTimeoutMs) continue;
    sendAsk(context, { takeover, agent });
  }
}

function sendAsk(
  context: TakeOverContext,
  asked: { readonly takeover: Takeover; readonly agent: AskedAgent },
): void {
  const { takeover, agent } = asked;
  const { target, incarnation } = agent.registered;
  agent.askedAtMs = context.nowMs;
  context.effects.push({
    type: "askKeys",
    askId: [takeover.incarnation, target].join(ASK_SEPARATOR),
    target,
    agentIncarnation: incarnation,
    incarnations: takeover.incarnations,
  });
}

function completeIfAnswered(
  context: TakeOverContext,
  takeover: Takeover,
): void {
  const open = takeover.countAskStates("waiting") +
    takeover.countAskStates("asked");
  if (takeover.stage !== "asking" || open > 0) return;
  if (takeover.elapsedLeaseMs < context.state.options.leaseMs) return;
  takeover.stage = "decided";
  context.effects.push({
    type: "takeoverCompleted",
    incarnation: takeover.incarnation,
    heldKeys: takeover.heldCount,
    unreachableAgents: takeover.countAskStates("unreachable") +
      takeover.countAskStates("replaced"),
    elapsedMs: context.nowMs - takeover.closedAtMs,
  });
}

function findAskedAgent(
  context: TakeOverContext,
  askId: string,
): { readonly takeover: Takeover; readonly agent: AskedAgent } | undefined {
  const [incarnation = "", target = ""] = askId.split(ASK_SEPARATOR);
  const takeover = context.state.takeovers.get(incarnation);
  const agent = takeover?.agents.get(target);
  return takeover && agent && { takeover, agent };
}
