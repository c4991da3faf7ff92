/** Who arbitrates a key, and what is known of an inherited one. */

import type { HomeLookup, HomeQuery } from "./events.ts";
import { findArbiter, type TakeOverState } from "./state.ts";
import type { Takeover } from "./takeover.ts";

export function findHome(
  state: TakeOverState,
  question: HomeQuery,
): HomeLookup {
  const { ticket } = question;
  const own = state.options.incarnation;
  const arbiter = findArbiter(state.closings, ticket.incarnation);
  if (arbiter !== own) {
    return arbiter !== undefined && state.live.has(arbiter)
      ? { kind: "remote", incarnation: arbiter }
      : { kind: "unreachable" };
  }
  if (ticket.incarnation === own) {
    return { kind: "local", expiresAtMs: ticket.expiresAtMs };
  }
  const takeover = state.takeovers.get(ticket.incarnation);
  if (takeover === undefined) return { kind: "pending" };
  return judgeInherited(state, { question, takeover });
}

function judgeInherited(
  state: TakeOverState,
  judged: { readonly question: HomeQuery; readonly takeover: Takeover },
): HomeLookup {
  const { question, takeover } = judged;
  const { options, history } = state;
  const expiresAtMs = takeover.closedAtMs + options.keyRetentionMs;
  if (takeover.stage === "expired") return { kind: "unknown", expiresAtMs };
  const held = takeover.findHeld(question.keyId);
  if (held !== undefined) return { kind: "held", ...held, expiresAtMs };
  if (takeover.stage === "listing") return { kind: "pending" };
  if (takeover.waitedMs < options.leaseMs) return { kind: "pending" };
  if (history.revision < takeover.listedRevision) return { kind: "pending" };
  const answers = [...takeover.answersOf(question.pool)];
  if (answers.some((answer) => answer === "waiting" || answer === "asked")) {
    return { kind: "pending" };
  }
  return mayHaveRun(state, judged)
    ? { kind: "unknown", expiresAtMs }
    : { kind: "free", expiresAtMs };
}

/** Whether an agent that denies nothing may have taken the key. */
function mayHaveRun(
  state: TakeOverState,
  judged: { readonly question: HomeQuery; readonly takeover: Takeover },
): boolean {
  const { pool, ticket } = judged.question;
  const { takeover } = judged;
  for (const answer of takeover.answersOf(pool)) {
    if (answer !== "answered") return true;
  }
  return takeover.mayHaveForgotten(pool, ticket) ||
    state.history.mayHaveLost(pool, ticket.revision);
}
