/** Finds the arbiter of a key and the state of an inherited key. */

import type { HomeLookup, HomeQuery } from "./events.ts";
import { findArbiter, type TakeOverState } from "./state.ts";
import type { Takeover } from "./takeover.ts";

/**
 * Finds the entry that arbitrates the key. An inherited key that no agent
 * is known to hold stays `pending` until the lease of its lost home entry has
 * certainly expired, because until then that entry may still report that the key
 * was not run.
 */
export function findHome(
  state: TakeOverState,
  query: HomeQuery,
): HomeLookup {
  const { ticket } = query;
  const own = state.options.incarnation;
  const arbiter = findArbiter(state.closings, ticket.incarnation);
  if (arbiter !== own) {
    return arbiter !== undefined && state.live.has(arbiter)
      ? { kind: "elsewhere", incarnation: arbiter }
      : { kind: "lost" };
  }
  if (ticket.incarnation === own) {
    return { kind: "here", expiresAtMs: ticket.expiresAtMs };
  }
  const takeover = state.takeovers.get(ticket.incarnation);
  if (takeover === undefined) return { kind: "pending" };
  return lookUpInherited(state, { query, takeover });
}

function lookUpInherited(
  state: TakeOverState,
  lookup: { readonly query: HomeQuery; readonly takeover: Takeover },
): HomeLookup {
  const { query, takeover } = lookup;
  const { options, history } = state;
  const expiresAtMs = takeover.closedAtMs + options.keyRetentionMs;
  if (takeover.stage === "expired") return { kind: "unknown", expiresAtMs };
  const held = takeover.findHeldKey(query.keyId);
  if (held !== undefined) return { kind: "held", ...held, expiresAtMs };
  if (takeover.stage === "listing") return { kind: "pending" };
  if (takeover.elapsedLeaseMs < options.leaseMs) return { kind: "pending" };
  if (history.revision < takeover.listedRevision) return { kind: "pending" };
  const states = [...takeover.listAskStates(query.pool)];
  if (states.some((state) => state === "waiting" || state === "asked")) {
    return { kind: "pending" };
  }
  return mayHaveBeenAccepted(state, lookup)
    ? { kind: "unknown", expiresAtMs }
    : { kind: "free", expiresAtMs };
}

/**
 * Returns whether the key may have been accepted by an agent that did not answer,
 * has evicted keys of that age, or was lost after the ticket was issued.
 */
function mayHaveBeenAccepted(
  state: TakeOverState,
  lookup: { readonly query: HomeQuery; readonly takeover: Takeover },
): boolean {
  const { pool, ticket } = lookup.query;
  const { takeover } = lookup;
  for (const askState of takeover.listAskStates(pool)) {
    if (askState !== "answered") return true;
  }
  return takeover.mayHaveEvicted(pool, ticket) ||
    state.history.mayHaveLost(pool, ticket.revision);
}
